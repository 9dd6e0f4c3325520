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
	readonly print: (line: string) => void;
};

const names: readonly FaultName[] = ['kill', 'freeze', 'stop', 'store-outage', 'store-slow', 'lost-answers', 'race', 'silence', 'lying', 'leaving', 'crash', 'shed'];
const requestsCutExitCode = 4;
/** Number of hosts that may be out of service at the same time. */
const maxHostsOutOfService = 4;
const shortestGapMs = 500;
const gapRangeMs = 2500;

/** Injects seeded random faults into a fleet; several may overlap. */
export class FaultInjector {
	static readonly names = names;

	readonly counts = new Map<FaultName, number>();
	/** Number of planned stops that interrupted requests in flight. */
	cutByStop = 0;
	/** Number of daemons that exited without a stop or a fault from this tool. */
	unexpectedExits = 0;
	readonly #options: InjectorOptions;
	readonly #outOfService = new Set<string>();
	#publicationCount = 1;

	constructor(options: InjectorOptions) {
		this.#options = options;
	}

	/** Injects faults for a period and waits until all have ended. */
	async run(durationMs: number): Promise<void> {
		const {random, faults} = this.#options;
		await runFaults({
			random,
			names: faults,
			durationMs,
			shortestGapMs,
			gapRangeMs,
			inject: async name => this.#inject(name),
			check: async () => this.#restartExited(),
		});
	}

	async #inject(name: FaultName): Promise<void> {
		const {random, print, fleet} = this.#options;
		const faultMs = 1000 + random.below(6000);
		this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
		switch (name) {
			case 'kill':
			case 'freeze':
			case 'stop': {
				await this.#injectHostFault(name, faultMs);
				break;
			}

			case 'store-outage': {
				await this.#injectStoreFaults({isOut: true}, faultMs);
				break;
			}

			case 'store-slow': {
				await this.#injectStoreFaults({slowMs: 500}, faultMs);
				break;
			}

			case 'lost-answers': {
				await this.#injectStoreFaults({lostAnswers: 0.5}, faultMs);
				break;
			}

			case 'race': {
				await this.#publishConcurrently();
				break;
			}

			case 'silence': {
				await this.#controlInstance('/silence', {});
				break;
			}

			case 'crash': {
				await this.#controlInstance('/crash', {});
				break;
			}

			case 'lying': {
				await this.#controlInstance('/mode', {isLying: true}, {isLying: false}, faultMs);
				break;
			}

			case 'leaving': {
				await this.#controlInstance('/mode', {isLeaving: true}, {isLeaving: false}, faultMs + 4000);
				break;
			}

			case 'shed': {
				await this.#controlInstance('/mode', {isShedding: true}, {isShedding: false}, faultMs);
				break;
			}
		}

		print(`fault ended: ${name} (${fleet.hosts.length - this.#outOfService.size} hosts in service)`);
	}

	async #injectHostFault(name: 'kill' | 'freeze' | 'stop', faultMs: number): Promise<void> {
		const {fleet, random} = this.#options;
		const available = fleet.hosts.filter(host => !this.#outOfService.has(host.id));
		if (this.#outOfService.size >= maxHostsOutOfService) {
			return;
		}

		const [host] = random.sample(available, 1);
		const {id} = host!;
		this.#outOfService.add(id);
		if (name === 'freeze') {
			fleet.daemon(id).signal('SIGSTOP');
			await delay(faultMs);
			fleet.daemon(id).signal('SIGCONT');
			await delay(3000);
		} else {
			if (name === 'kill') {
				await fleet.daemon(id).kill();
				await delay(faultMs);
			} else if (await fleet.stopDaemon(id) === requestsCutExitCode) {
				this.cutByStop++;
			}

			await fleet.startDaemon(id);
			await delay(2000);
		}

		this.#outOfService.delete(id);
	}

	async #injectStoreFaults(faults: Record<string, unknown>, faultMs: number): Promise<void> {
		const {fleet} = this.#options;
		await fleet.control('store', 'PUT', '/stand-in/faults', faults);
		await delay(faultMs);
		await fleet.control('store', 'PUT', '/stand-in/faults', {});
	}

	/** Publishes two different changes concurrently, as two operators. */
	async #publishConcurrently(): Promise<void> {
		const {fleet} = this.#options;
		await Promise.all(['one', 'two'].map(async author => {
			const store = new ConsulStore({
				address: fleet.storeAddress, prefix: 'cowslipspar/', timeoutMs: 1000, clock: monotonicClock, onCall() {/* Store calls are not counted here. */},
			});
			const publisher = new Publisher(store, author);
			const head = await publisher.head();
			if (head.success) {
				this.#publicationCount++;
				const {services} = fleet.publication;
				const name = Object.keys(services)[0]!;
				const service = services[name]!;
				const classes = service.classes.map((item, index) => (index === 0 ? {...item, targetMs: item.targetMs + this.#publicationCount} : item));
				await publisher.publish({...fleet.publication, services: {...services, [name]: {...service, classes}}}, head.data);
			}

			store.close();
		}));
	}

	async #controlInstance(path: string, mode: Record<string, unknown>, restoredMode?: Record<string, unknown>, faultMs = 0): Promise<void> {
		const {fleet, random} = this.#options;
		const places = Object.values(fleet.publication.services).flatMap(service => service.places);
		const [place] = random.sample(places, 1);
		const [instance] = random.sample(place!.instances, 1);
		await fleet.control(place!.zone, 'PUT', `${path}/${instance!.id}`, mode);
		if (restoredMode !== undefined) {
			await delay(faultMs);
			await fleet.control(place!.zone, 'PUT', `${path}/${instance!.id}`, restoredMode);
		}
	}

	async #restartExited(): Promise<void> {
		const {fleet, print} = this.#options;
		for (const host of fleet.hosts) {
			if (!this.#outOfService.has(host.id) && !fleet.daemon(host.id).isRunning) {
				this.unexpectedExits++;
				print(`the daemon ${host.id} exited unexpectedly; restarting it`);
				await fleet.startDaemon(host.id);
			}
		}
	}
}
