import {setTimeout as delay} from 'node:timers/promises';
import {ConsulStore} from '../src/adapters/consul-store.js';
import {monotonicClock} from '../src/adapters/monotonic-clock.js';
import {type SeededRandom} from '../src/decisions/seeded-random.js';
import {Publisher} from '../src/publisher.js';
import {type Fleet} from './fleet.js';
import {runFaults} from './run-faults.js';

type FaultName = 'kill' | 'freeze' | 'stop' | 'store-outage' | 'store-slow' | 'lost-answers' | 'race' | 'silence' | 'lying' | 'leaving' | 'crash' | 'shed';

type InjectorOptions = {
	readonly fleet: Fleet;
	readonly random: SeededRandom;
	readonly faults: readonly FaultName[];
	readonly say: (line: string) => void;
};

const names: readonly FaultName[] = ['kill', 'freeze', 'stop', 'store-outage', 'store-slow', 'lost-answers', 'race', 'silence', 'lying', 'leaving', 'crash', 'shed'];
const cutByStopCode = 4;
/** Hosts out of service at once. */
const maxHostsOut = 4;
const shortestGapMs = 500;
const gapRangeMs = 2500;

/** Brings about seeded random faults in a fleet; several may overlap. */
export class FaultInjector {
	static readonly names = names;

	readonly counts = new Map<FaultName, number>();
	/** Planned stops that cut requests. */
	cutByStop = 0;
	/** Daemons that ended without being told to. */
	unexpectedExits = 0;
	readonly #options: InjectorOptions;
	readonly #out = new Set<string>();
	#publication = 1;

	constructor(options: InjectorOptions) {
		this.#options = options;
	}

	/** Injects faults for a time and waits until all have ended. */
	async run(durationMs: number): Promise<void> {
		const {random, faults} = this.#options;
		await runFaults({
			random,
			names: faults,
			durationMs,
			shortestGapMs,
			gapRangeMs,
			inject: async name => this.#inject(name),
			check: async () => this.#countExits(),
		});
	}

	async #inject(name: FaultName): Promise<void> {
		const {random, say, fleet} = this.#options;
		const lastMs = 1000 + random.below(6000);
		this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
		switch (name) {
			case 'kill':
			case 'freeze':
			case 'stop': {
				await this.#disturbHost(name, lastMs);
				break;
			}

			case 'store-outage': {
				await this.#withStore({isOut: true}, lastMs);
				break;
			}

			case 'store-slow': {
				await this.#withStore({slowMs: 500}, lastMs);
				break;
			}

			case 'lost-answers': {
				await this.#withStore({lostAnswers: 0.5}, lastMs);
				break;
			}

			case 'race': {
				await this.#race();
				break;
			}

			case 'silence': {
				await this.#onInstance('/silence', {});
				break;
			}

			case 'crash': {
				await this.#onInstance('/crash', {});
				break;
			}

			case 'lying': {
				await this.#onInstance('/mode', {isLying: true}, {isLying: false}, lastMs);
				break;
			}

			case 'leaving': {
				await this.#onInstance('/mode', {isLeaving: true}, {isLeaving: false}, lastMs + 4000);
				break;
			}

			case 'shed': {
				await this.#onInstance('/mode', {isShedding: true}, {isShedding: false}, lastMs);
				break;
			}
		}

		say(`fault ended: ${name} (${fleet.hosts.length - this.#out.size} hosts in service)`);
	}

	async #disturbHost(name: 'kill' | 'freeze' | 'stop', lastMs: number): Promise<void> {
		const {fleet, random} = this.#options;
		const free = fleet.hosts.filter(host => !this.#out.has(host.id));
		if (this.#out.size >= maxHostsOut) {
			return;
		}

		const [host] = random.sample(free, 1);
		const {id} = host!;
		this.#out.add(id);
		if (name === 'freeze') {
			fleet.daemon(id).signal('SIGSTOP');
			await delay(lastMs);
			fleet.daemon(id).signal('SIGCONT');
			await delay(3000);
		} else {
			if (name === 'kill') {
				await fleet.daemon(id).kill();
				await delay(lastMs);
			} else if (await fleet.stopDaemon(id) === cutByStopCode) {
				this.cutByStop++;
			}

			await fleet.startDaemon(id);
			await delay(2000);
		}

		this.#out.delete(id);
	}

	async #withStore(faults: Record<string, unknown>, lastMs: number): Promise<void> {
		const {fleet} = this.#options;
		await fleet.control('store', 'PUT', '/stand-in/faults', faults);
		await delay(lastMs);
		await fleet.control('store', 'PUT', '/stand-in/faults', {});
	}

	/** Two operators publish different changes at the same moment. */
	async #race(): Promise<void> {
		const {fleet} = this.#options;
		await Promise.all(['one', 'two'].map(async author => {
			const store = new ConsulStore({
				address: fleet.storeAddress, prefix: 'cowslipspar/', timeoutMs: 1000, clock: monotonicClock, onCall() {/* Not counted here. */},
			});
			const publisher = new Publisher(store, author);
			const head = await publisher.head();
			if (head.success) {
				this.#publication++;
				const {services} = fleet.publication;
				const name = Object.keys(services)[0]!;
				const service = services[name]!;
				const classes = service.classes.map((item, index) => (index === 0 ? {...item, targetMs: item.targetMs + this.#publication} : item));
				await publisher.publish({...fleet.publication, services: {...services, [name]: {...service, classes}}}, head.data);
			}

			store.close();
		}));
	}

	async #onInstance(path: string, mode: Record<string, unknown>, after?: Record<string, unknown>, lastMs = 0): Promise<void> {
		const {fleet, random} = this.#options;
		const places = Object.values(fleet.publication.services).flatMap(service => service.places);
		const [place] = random.sample(places, 1);
		const [instance] = random.sample(place!.instances, 1);
		await fleet.control(place!.zone, 'PUT', `${path}/${instance!.id}`, mode);
		if (after !== undefined) {
			await delay(lastMs);
			await fleet.control(place!.zone, 'PUT', `${path}/${instance!.id}`, after);
		}
	}

	async #countExits(): Promise<void> {
		const {fleet, say} = this.#options;
		for (const host of fleet.hosts) {
			if (!this.#out.has(host.id) && !fleet.daemon(host.id).isRunning) {
				this.unexpectedExits++;
				say(`the daemon ${host.id} ended by itself`);
				await fleet.startDaemon(host.id);
			}
		}
	}
}
