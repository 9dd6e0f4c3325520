import {type ChangeLog} from './change-log.js';
import {type LinkTransfers} from './link-transfers.js';

type ReaderOptions = {
	readonly host: number;
	readonly log: ChangeLog;
	readonly transfers: LinkTransfers;
	/** Whether the store answers the host nothing. */
	readonly isCut: () => boolean;
	/** Revision that the host has. */
	readonly revision: () => number;
	/** Called with each response: the revision after which it has the changes (0: all items), the one up to which it has them, its size, and the time at which the store began it. */
	readonly onAnswer: (answer: {readonly after: number; readonly revision: number; readonly bytes: number; readonly asOfMs: number}) => void;
	readonly onFailure: () => void;
	/** Called at the start of each call that waits for changes. */
	readonly onWatch: (nowMs: number) => void;
	/** Called when a response with changes begins to arrive. */
	readonly onProgress: (nowMs: number) => void;
};

/** State of the one call in progress; what is sent waits for the store, and then for the host's link. */
type State =
	| {readonly kind: 'none'}
	| {readonly kind: 'paused'; readonly untilMs: number; readonly next: 'read' | 'watch'}
	| {readonly kind: 'watching'; readonly sinceMs: number; readonly after: number}
	| {readonly kind: 'receiving'; readonly transfer: ReturnType<LinkTransfers['begin']>};

const watchWaitMs = 3000;
const batchPauseMs = 150;
const retryPauseMs = 400;
/** Time without a response, beyond that of the watch, after which a call is given up. */
const timeoutMs = 800;

/** Reads and watches the store for a host, as `StoreReader` does, in virtual time: all items first, then what changes after them. */
export class SimulatedStoreReader {
	readonly #options: ReaderOptions;
	#isWatching = false;
	#state: State = {kind: 'paused', untilMs: 0, next: 'read'};

	constructor(options: ReaderOptions) {
		this.#options = options;
	}

	/** Begins a watch, or gives up the one in progress with what it receives; the first read of a process goes on. */
	setWatching(isWatching: boolean): void {
		this.#isWatching = isWatching;
		if (this.#options.revision() === 0) {
			return;
		}

		if (this.#state.kind === 'receiving') {
			this.#options.transfers.drop(this.#state.transfer);
		}

		this.#state = isWatching ? {kind: 'paused', untilMs: 0, next: 'watch'} : {kind: 'none'};
	}

	/** Reads all items, unless a response is on its way. */
	readAll(): void {
		if (this.#state.kind !== 'receiving') {
			this.#state = {kind: 'paused', untilMs: 0, next: 'read'};
		}
	}

	tick(nowMs: number): void {
		if (this.#state.kind === 'paused' && nowMs >= this.#state.untilMs) {
			if (this.#state.next === 'read') {
				this.#receive(0, nowMs);
			} else {
				this.#state = {kind: 'watching', sinceMs: nowMs, after: this.#options.revision()};
				this.#options.onWatch(nowMs);
			}
		} else if (this.#state.kind === 'watching') {
			this.#tickWatch(this.#state, nowMs);
		}
	}

	#tickWatch(watch: Extract<State, {kind: 'watching'}>, nowMs: number): void {
		const {log, isCut, onAnswer} = this.#options;
		// Of changes that came after the wait, the response says nothing, however late a cut lets it arrive.
		const answeredMs = watch.sinceMs + watchWaitMs;
		if (isCut()) {
			if (nowMs >= answeredMs + timeoutMs) {
				this.#fail(nowMs);
			}
		} else if (log.nextAfter(watch.after) <= answeredMs) {
			this.#receive(watch.after, nowMs);
		} else if (nowMs >= answeredMs) {
			this.#state = {...watch, sinceMs: nowMs};
			onAnswer({
				after: watch.after, revision: watch.after, bytes: 0, asOfMs: answeredMs,
			});
			this.#options.onWatch(nowMs);
		}
	}

	/** Receives the changes after a revision as they are now, or all items. */
	#receive(after: number, startMs: number): void {
		const {host, log, transfers, onAnswer, onProgress} = this.#options;
		const {revision} = log;
		onProgress(startMs);
		const bytes = log.bytesBetween(after, revision);
		const transfer = transfers.begin({
			from: undefined,
			to: host,
			remainingBytes: bytes,
			onEnd: nowMs => {
				this.#state = this.#isWatching ? {kind: 'paused', untilMs: nowMs + batchPauseMs, next: 'watch'} : {kind: 'none'};
				onAnswer({
					after, revision, bytes, asOfMs: startMs,
				});
			},
			onFailure: nowMs => {
				this.#fail(nowMs);
			},
		}, startMs);
		this.#state = {kind: 'receiving', transfer};
	}

	#fail(nowMs: number): void {
		const {revision, onFailure} = this.#options;
		const isRepeated = this.#isWatching || revision() === 0;
		this.#state = isRepeated ? {kind: 'paused', untilMs: nowMs + retryPauseMs, next: 'read'} : {kind: 'none'};
		onFailure();
	}
}
