import {type SeededRandom} from '../../src/decisions/seeded-random.js';
import {type VirtualTime} from './virtual-time.js';

type InstanceOptions = {
	readonly time: VirtualTime;
	readonly random: SeededRandom;
	readonly slots: number;
	readonly queue: number;
	/** Number of objects that the instance stays warm for. */
	readonly warmObjects: number;
};

type Run = {
	readonly objectKey: string;
	/** Time of a run that is not warm, and the share of it that a warm one takes. */
	readonly workMs: number;
	readonly warmShare: number;
	/** Moment after which the instance does not begin the run. */
	readonly deadlineMs: number;
	/** Called when the run has ended, or is refused. */
	readonly respond: (response: {readonly hasRun: boolean; readonly isWarm: boolean; readonly load: {running: number; waiting: number; slots: number}}) => void;
	isCancelled: boolean;
};

/** Work varies by this share around its mean. */
const workSpread = 0.15;

/** An instance in the model: a fixed number of slots, a bounded queue in order of arrival, and objects that it is warm for, the least recently used of which it forgets. */
export class ModelInstance {
	/** How many times longer than usual runs take. */
	slowness = 1;
	isLost = false;
	runs = 0;
	readonly #options: InstanceOptions;
	readonly #running = new Set<Run>();
	readonly #waiting: Run[] = [];
	readonly #warm = new Set<string>();

	constructor(options: InstanceOptions) {
		this.#options = options;
	}

	/** Receives a request; the returned function cancels it. */
	receive(request: Omit<Run, 'isCancelled'>): () => void {
		const run: Run = {...request, isCancelled: false};
		if (this.#running.size < this.#options.slots) {
			this.#start(run);
		} else if (this.#waiting.length < this.#options.queue) {
			this.#waiting.push(run);
		} else {
			run.respond({hasRun: false, isWarm: false, load: this.#load()});
		}

		return () => {
			run.isCancelled = true;
			this.#end(run);
		};
	}

	#load(): {running: number; waiting: number; slots: number} {
		return {running: this.#running.size, waiting: this.#waiting.length, slots: this.#options.slots};
	}

	#start(run: Run): void {
		const {time, random} = this.#options;
		this.#running.add(run);
		this.runs++;
		const isWarm = this.#warm.has(run.objectKey);
		const workMs = run.workMs * (1 - workSpread + (2 * workSpread * random.next())) * (isWarm ? run.warmShare : 1) * this.slowness;
		time.after(workMs, () => {
			if (run.isCancelled || this.isLost) {
				return;
			}

			this.#warmUp(run.objectKey);
			this.#end(run);
			run.respond({hasRun: true, isWarm, load: this.#load()});
		});
	}

	#warmUp(objectKey: string): void {
		this.#warm.delete(objectKey);
		this.#warm.add(objectKey);
		if (this.#warm.size > this.#options.warmObjects) {
			const [oldest] = this.#warm;
			this.#warm.delete(oldest!);
		}
	}

	#end(run: Run): void {
		const position = this.#waiting.indexOf(run);
		if (position !== -1) {
			this.#waiting.splice(position, 1);
		}

		if (!this.#running.delete(run)) {
			return;
		}

		for (let next = this.#waiting.shift(); next !== undefined; next = this.#waiting.shift()) {
			if (this.#options.time.nowMs() < next.deadlineMs) {
				this.#start(next);
				return;
			}

			next.respond({hasRun: false, isWarm: false, load: this.#load()});
		}
	}
}
