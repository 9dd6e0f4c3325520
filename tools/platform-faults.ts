import {setTimeout as delay} from 'node:timers/promises';
import {type SeededRandom} from '../src/decisions/seeded-random.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {platformNames} from '../stand-ins/platform-names.js';
import {type PlatformFleet} from './platform-fleet.js';
import {runFaults} from './run-faults.js';

type FaultName = 'kill' | 'kill-all' | 'freeze' | 'stop' | 'store-fault' | 'lost-answers' | 'compaction' | 'configuration' | 'crash' | 'drain' | 'evacuation' | 'misbehaviour';

type FaultsOptions = {
	readonly fleet: PlatformFleet;
	readonly random: SeededRandom;
	/** Puts the configuration of a version into the store. */
	readonly publish: (version: number) => void;
	readonly say: (line: string) => void;
};

type Instance = PlatformFleet['instances'][number];

const names: readonly FaultName[] = ['kill', 'kill-all', 'freeze', 'stop', 'store-fault', 'lost-answers', 'compaction', 'configuration', 'crash', 'drain', 'evacuation', 'misbehaviour'];
const storeModes = ['silent', 'busy', 'many', 'reset'] as const;
const misbehaviours = ['shed', 'misdirect', 'crash', 'silent', 'fail', 'unsigned', 'wrong-id'] as const;
/** Hosts, and instances, out of service at once. */
const maxOut = 2;
const shortestGapMs = 300;
const gapRangeMs = 1500;
const shortestFaultMs = 500;
const faultRangeMs = 3500;
/** Time after which a lost instance's entry lapses, in milliseconds. */
const lapseMs = 1000;
/** Time by which every host has to know that an instance drains, in milliseconds. */
const drainMs = 2500;

/** Brings about seeded random faults in a fleet on the platform's contract; several may overlap. */
export class PlatformFaults {
	readonly counts = new Map<FaultName, number>();
	/** Daemons that ended without being told to, and planned stops that did not end well. */
	unexpectedExits = 0;
	/** Requests that reached an instance when every host had to know that it drains. */
	newWorkAfterDrain = 0;
	readonly #options: FaultsOptions;
	readonly #out = new Set<string>();
	#version = 1;
	/** Moment at which the store's latest fault ended; infinite while it lasts. */
	#storeFaultEndedMs = Number.NEGATIVE_INFINITY;
	/** Of the latest change that an instance told of itself. */
	#sequence = 1;

	constructor(options: FaultsOptions) {
		this.#options = options;
	}

	/** Version of the newest configuration. */
	get version(): number {
		return this.#version;
	}

	/** Injects faults for a time and waits until all have ended. */
	async run(durationMs: number): Promise<void> {
		await runFaults({
			random: this.#options.random,
			names,
			durationMs,
			shortestGapMs,
			gapRangeMs,
			inject: async name => this.#inject(name),
			check: () => {
				this.#countExits();
			},
		});
	}

	async #inject(name: FaultName): Promise<void> {
		const {random, fleet, say} = this.#options;
		const lastMs = shortestFaultMs + random.below(faultRangeMs);
		this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
		say(`fault: ${name}`);
		switch (name) {
			case 'kill':
			case 'freeze':
			case 'stop': {
				return this.#onFree(fleet.hosts, async ({id}) => this.#disturbHost(name, id, lastMs));
			}

			case 'kill-all': {
				return this.#killAll(lastMs);
			}

			case 'store-fault': {
				return this.#withStore({mode: random.sample(storeModes, 1)[0]!}, lastMs);
			}

			case 'lost-answers': {
				return this.#withStore({isLosingAnswers: true, slowMs: 100}, lastMs);
			}

			case 'compaction': {
				fleet.store.compact();
				return;
			}

			case 'configuration': {
				this.#version++;
				this.#options.publish(this.#version);
				return;
			}

			case 'evacuation': {
				const key = platformNames.evacuationKey(random.sample(fleet.hosts, 1)[0]!.zone);
				fleet.store.write(key, {});
				await delay(lastMs);
				fleet.store.remove(key);
				return;
			}

			case 'crash': {
				return this.#onFree(fleet.instances, async instance => this.#crash(instance, lastMs));
			}

			case 'drain': {
				return this.#onFree(fleet.instances, async instance => this.#drain(instance, lastMs));
			}

			case 'misbehaviour': {
				return this.#onFree(fleet.instances, async ({standIn}) => {
					standIn.behaviours = [random.sample(misbehaviours, 1)[0]!];
					await delay(lastMs);
					standIn.behaviours = ['answer'];
				});
			}
		}
	}

	async #withStore(faults: Parameters<PlatformFleet['store']['setFaults']>[0], lastMs: number): Promise<void> {
		const {store} = this.#options.fleet;
		store.setFaults(faults);
		this.#storeFaultEndedMs = Number.POSITIVE_INFINITY;
		await delay(lastMs);
		store.setFaults({});
		this.#storeFaultEndedMs = performance.now();
	}

	/** Does something to a host or an instance that nothing else is done to, unless enough of them are out. */
	async #onFree<T extends {readonly id: string}>(all: readonly T[], disturb: (item: T) => Promise<void>): Promise<void> {
		const free = all.filter(({id}) => !this.#out.has(id));
		if (all.length - free.length < maxOut) {
			await this.#takingOut(this.#options.random.sample(free, 1), disturb);
		}
	}

	async #takingOut<T extends {readonly id: string}>(items: readonly T[], disturb: (item: T) => Promise<void>): Promise<void> {
		for (const {id} of items) {
			this.#out.add(id);
		}

		await Promise.all(items.map(async item => disturb(item)));
		for (const {id} of items) {
			this.#out.delete(id);
		}
	}

	async #disturbHost(name: 'kill' | 'freeze' | 'stop', id: string, lastMs: number): Promise<void> {
		const {fleet} = this.#options;
		switch (name) {
			case 'freeze': {
				fleet.daemon(id).signal('SIGSTOP');
				await delay(lastMs);
				fleet.daemon(id).signal('SIGCONT');
				return;
			}

			case 'kill': {
				await fleet.daemon(id).kill();
				await delay(lastMs);
				break;
			}

			case 'stop': {
				this.unexpectedExits += await fleet.stopDaemon(id) === 0 ? 0 : 1;
				break;
			}
		}

		await fleet.startDaemon(id);
	}

	/** Ends every daemon that nothing else is done to, at once. */
	async #killAll(lastMs: number): Promise<void> {
		const {fleet} = this.#options;
		const free = fleet.hosts.filter(({id}) => !this.#out.has(id));
		await this.#takingOut(free, async ({id}) => this.#disturbHost('kill', id, lastMs));
	}

	/** Ends an instance without a word; a new one comes at its address. */
	async #crash(instance: Instance, lastMs: number): Promise<void> {
		const {fleet} = this.#options;
		await fleet.crash(instance, lapseMs);
		await delay(lastMs);
		await fleet.revive(instance);
	}

	/** Drains an instance: what reaches it when everybody has to know counts against the system. */
	async #drain({id, address, zone, service, standIn}: Instance, lastMs: number): Promise<void> {
		const {store} = this.#options.fleet;
		const tell = (state: string) => {
			this.#sequence++;
			store.write(platformNames.instanceKey(id), platformDocuments.instance(address, {
				zone, service, state, sequence: this.#sequence,
			}));
		};

		const toldMs = performance.now();
		tell('draining');
		await delay(drainMs);
		const before = standIn.ran.length;
		await delay(lastMs);
		// Hosts learn of it from the store alone: nothing is promised while that does not answer.
		this.newWorkAfterDrain += this.#storeFaultEndedMs > toldMs ? 0 : standIn.ran.length - before;
		tell('ready');
	}

	#countExits(): void {
		const {fleet} = this.#options;
		this.unexpectedExits += fleet.hosts.filter(({id}) => !this.#out.has(id) && !fleet.daemon(id).isRunning).length;
	}
}
