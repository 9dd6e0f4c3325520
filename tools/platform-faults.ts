import {setTimeout as delay} from 'node:timers/promises';
import {type SeededRandom} from '../src/decisions/seeded-random.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {platformNames} from '../stand-ins/platform-names.js';
import {type PlatformFleet} from './platform-fleet.js';
import {runFaults} from './run-faults.js';

type FaultName = typeof names[number];

type FaultsOptions = {
	readonly fleet: PlatformFleet;
	readonly random: SeededRandom;
	/** Writes the configuration of a version to the store. */
	readonly publish: (version: number) => void;
	readonly print: (line: string) => void;
};

type Instance = PlatformFleet['instances'][number];

const names = ['kill', 'kill-all', 'freeze', 'stop', 'store-fault', 'lost-answers', 'compaction', 'restore', 'configuration', 'crash', 'drain', 'leaving', 'evacuation', 'misbehaviour'] as const;
const storeModes = ['silent', 'busy', 'many', 'reset'] as const;
const misbehaviours = ['shed', 'pause', 'misdirect', 'crash', 'silent', 'fail', 'unsigned', 'wrong-id', 'no-length', 'cut-no-length', 'cut-chunks'] as const;
/** Number of hosts, and of instances, that may be out of service at the same time. */
const maxOutOfService = 2;
const shortestGapMs = 300;
const gapRangeMs = 1500;
const shortestFaultMs = 500;
const faultRangeMs = 3500;
/** Longest time for which the store is unavailable before it comes back from a copy. */
const restoreRangeMs = 1000;
/** Longest time until operators and instances have written again what the restored store lacks; hosts wait 2.2 s for it. */
const rewriteRangeMs = 1500;
/** Rounds in which instances write their entries between the copy and its restore, so that the revision falls by more than is written again. */
const roundsBeforeRestore = 20;
/** Time after the latest fault of the store within which every host must have a configuration written after a restore: the longest that operators are promised. */
const restoredConfigurationMs = 4000;
const configurationPollMs = 500;
/** Time after which the store entry of a lost instance expires. */
const leaseExpiryMs = 1000;
/** Time within which every host must have received the update that an instance drains. */
const drainNoticeMs = 2500;
/** Number of requests that each host may still send to an instance that said that it leaves, before the host has an answer from it. */
const requestsPerUninformedHost = 1;

/** Injects seeded random faults into a fleet that runs against stand-ins of the platform; several may overlap. */
export class PlatformFaults {
	readonly counts = new Map<FaultName, number>();
	/** Number of daemons found exited unexpectedly, counted again at each check, and of planned stops with an exit code other than 0. */
	unexpectedExits = 0;
	/** Number of requests that an instance ran after the time within which every host must treat it as draining. */
	requestsAfterDrain = 0;
	/** Number of requests that instances ran after they had stated to every host that they leave. */
	requestsAfterLeaving = 0;
	/** Number of hosts that lacked a configuration written after a restore, after the time within which every host must have it. */
	hostsBehindAfterRestore = 0;
	readonly #options: FaultsOptions;
	readonly #outOfService = new Set<string>();
	#version = 1;
	/** Time at which the latest fault of the store ended; infinite during a fault. */
	#storeFaultEndedMs = Number.NEGATIVE_INFINITY;
	/** Sequence number of the latest state that an instance reported. */
	#sequence = 1;

	constructor(options: FaultsOptions) {
		this.#options = options;
	}

	/** Version of the latest published configuration. */
	get version(): number {
		return this.#version;
	}

	/** Injects faults for a period and waits until all have ended. */
	async run(durationMs: number): Promise<void> {
		await runFaults({
			random: this.#options.random,
			names,
			durationMs,
			shortestGapMs,
			gapRangeMs,
			inject: async name => this.#inject(name),
			check: () => {
				this.#countUnexpectedExits();
			},
		});
	}

	async #inject(name: FaultName): Promise<void> {
		const {random, fleet, print} = this.#options;
		const faultMs = shortestFaultMs + random.below(faultRangeMs);
		this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
		print(`fault: ${name}`);
		switch (name) {
			case 'kill':
			case 'freeze':
			case 'stop': {
				return this.#injectIntoOne(fleet.hosts, async ({id}) => this.#injectHostFault(name, id, faultMs));
			}

			case 'kill-all': {
				return this.#killAll(faultMs);
			}

			case 'store-fault': {
				return this.#injectStoreFaults({mode: random.sample(storeModes, 1)[0]!}, faultMs);
			}

			case 'lost-answers': {
				return this.#injectStoreFaults({isLosingResponses: true, slowMs: 100}, faultMs);
			}

			case 'compaction': {
				fleet.store.compact();
				return;
			}

			case 'restore': {
				return this.#restoreStore(faultMs);
			}

			case 'configuration': {
				this.#version++;
				this.#options.publish(this.#version);
				return;
			}

			case 'evacuation': {
				const key = platformNames.evacuationKey(random.sample(fleet.hosts, 1)[0]!.zone);
				fleet.store.write(key, {});
				await delay(faultMs);
				fleet.store.remove(key);
				return;
			}

			case 'crash': {
				return this.#injectIntoOne(fleet.instances, async instance => this.#crash(instance, faultMs));
			}

			case 'drain': {
				return this.#injectIntoOne(fleet.instances, async instance => this.#drain(instance, faultMs));
			}

			case 'leaving': {
				return this.#injectIntoOne(fleet.instances, async instance => this.#leave(instance, faultMs));
			}

			case 'misbehaviour': {
				return this.#injectIntoOne(fleet.instances, async ({standIn}) => {
					standIn.behaviours = [random.sample(misbehaviours, 1)[0]!];
					await delay(faultMs);
					standIn.behaviours = ['answer'];
				});
			}
		}
	}

	async #injectStoreFaults(faults: Parameters<PlatformFleet['store']['setFaults']>[0], faultMs: number): Promise<void> {
		const {store} = this.#options.fleet;
		store.setFaults(faults);
		this.#storeFaultEndedMs = Number.POSITIVE_INFINITY;
		await delay(faultMs);
		store.setFaults({});
		this.#storeFaultEndedMs = performance.now();
	}

	/**
	 * Restores the store from a copy of some age, after a moment in which it is unavailable. What the copy lacks is written again later, and
	 * then a new configuration, at a revision below the highest one before.
	 */
	async #restoreStore(copyAgeMs: number): Promise<void> {
		const {random, fleet: {store}} = this.#options;
		const [unavailableMs, rewriteMs] = [random.below(restoreRangeMs), random.below(rewriteRangeMs)];
		const copy = store.copy();
		for (let round = 0; round < roundsBeforeRestore; round++) {
			store.writeAgain();
		}

		await delay(copyAgeMs);
		store.setFaults({mode: 'reset'});
		this.#storeFaultEndedMs = Number.POSITIVE_INFINITY;
		await delay(unavailableMs);
		store.restore(copy);
		store.setFaults({});
		await delay(rewriteMs);
		store.writeAgain();
		this.#version++;
		this.#options.publish(this.#version);
		this.#storeFaultEndedMs = performance.now();
		await this.#awaitConfiguration(this.#version);
	}

	/** Waits until every host in service has a configuration, and counts those that do not get it although the store has no fault any more. */
	async #awaitConfiguration(version: number): Promise<void> {
		const {fleet} = this.#options;
		let behind = fleet.hosts.length;
		while (behind > 0 && performance.now() < this.#storeFaultEndedMs + restoredConfigurationMs) {
			await delay(configurationPollMs);
			const available = fleet.hosts.filter(({id}) => !this.#outOfService.has(id));
			const statuses = await Promise.all(available.map(async ({id}) => fleet.status(id)));
			behind = statuses.filter(status => status !== undefined && status.revision < version).length;
		}

		this.hostsBehindAfterRestore += behind;
	}

	/** Injects a fault into a random host or instance that has none, unless `maxOutOfService` of them are out of service. */
	async #injectIntoOne<T extends {readonly id: string}>(all: readonly T[], injectFault: (item: T) => Promise<void>): Promise<void> {
		const available = all.filter(({id}) => !this.#outOfService.has(id));
		if (all.length - available.length < maxOutOfService) {
			await this.#injectInto(this.#options.random.sample(available, 1), injectFault);
		}
	}

	async #injectInto<T extends {readonly id: string}>(items: readonly T[], injectFault: (item: T) => Promise<void>): Promise<void> {
		for (const {id} of items) {
			this.#outOfService.add(id);
		}

		await Promise.all(items.map(async item => injectFault(item)));
		for (const {id} of items) {
			this.#outOfService.delete(id);
		}
	}

	async #injectHostFault(name: 'kill' | 'freeze' | 'stop', id: string, faultMs: number): Promise<void> {
		const {fleet} = this.#options;
		switch (name) {
			case 'freeze': {
				fleet.daemon(id).signal('SIGSTOP');
				await delay(faultMs);
				fleet.daemon(id).signal('SIGCONT');
				return;
			}

			case 'kill': {
				await fleet.daemon(id).kill();
				await delay(faultMs);
				break;
			}

			case 'stop': {
				this.unexpectedExits += await fleet.stopDaemon(id) === 0 ? 0 : 1;
				break;
			}
		}

		await fleet.startDaemon(id);
	}

	/** Kills every daemon that has no other fault, at the same time. */
	async #killAll(faultMs: number): Promise<void> {
		const {fleet} = this.#options;
		const available = fleet.hosts.filter(({id}) => !this.#outOfService.has(id));
		await this.#injectInto(available, async ({id}) => this.#injectHostFault('kill', id, faultMs));
	}

	/** Crashes an instance and later starts a new one at its address. */
	async #crash(instance: Instance, faultMs: number): Promise<void> {
		const {fleet} = this.#options;
		await fleet.crash(instance, leaseExpiryMs);
		await delay(faultMs);
		await fleet.restart(instance);
	}

	/** Drains an instance, and counts the requests it runs after the time within which every host must have received the update. */
	async #drain({id, address, zone, service, standIn}: Instance, faultMs: number): Promise<void> {
		const {store} = this.#options.fleet;
		const writeState = (state: string) => {
			this.#sequence++;
			store.write(platformNames.instanceKey(id), platformDocuments.instance(address, {
				zone, service, state, sequence: this.#sequence,
			}));
		};

		const drainStartMs = performance.now();
		writeState('draining');
		await delay(drainNoticeMs);
		const ranBefore = standIn.executedRequests.length;
		await delay(faultMs);
		// Hosts receive the update from the store alone, so the time limit does not hold while the store is unavailable.
		this.requestsAfterDrain += this.#storeFaultEndedMs > drainStartMs ? 0 : standIn.executedRequests.length - ranBefore;
		writeState('ready');
	}

	/** Lets an instance state in its responses alone that it leaves, while the store lists it as ready; later starts a new one at its address. */
	async #leave(instance: Instance, faultMs: number): Promise<void> {
		const {fleet} = this.#options;
		const {standIn} = instance;
		standIn.isLeaving = true;
		await delay(drainNoticeMs);
		const ranBefore = standIn.executedRequests.length;
		await delay(faultMs);
		this.requestsAfterLeaving += Math.max(0, standIn.executedRequests.length - ranBefore - (requestsPerUninformedHost * fleet.hosts.length));
		await fleet.crash(instance, leaseExpiryMs);
		standIn.isLeaving = false;
		await fleet.restart(instance);
	}

	#countUnexpectedExits(): void {
		const {fleet} = this.#options;
		this.unexpectedExits += fleet.hosts.filter(({id}) => !this.#outOfService.has(id) && !fleet.daemon(id).isRunning).length;
	}
}
