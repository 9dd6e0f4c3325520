import {type LiveInstance} from '../../src/contracts/live-instance.js';
import {type Member} from '../../src/contracts/member.js';
import {type RouteTable} from '../../src/contracts/route-table.js';
import {type StoreChange} from '../../src/contracts/store-change.js';
import {SeededRandom} from '../../src/decisions/seeded-random.js';
import {ModelClients} from './model-clients.js';
import {ModelHost} from './model-host.js';
import {ModelInstance} from './model-instance.js';
import {ModelNetwork} from './model-network.js';
import {type Scenario} from './scenario.js';
import {summarize} from './summarize.js';
import {VirtualTime} from './virtual-time.js';

type Outcome = Parameters<ConstructorParameters<typeof ModelClients>[0]['onOutcome']>[0];
type Kind = Scenario['kinds'][number];
type Event = Scenario['events'][number];
type Service = Scenario['services'][number];

/** Longest delay from a change of the store to a host that follows it. */
const newsDelayMs = 600;
/** Time after an instance's end until its entry is removed. */
const expiryMs = 3000;
/** Time after the last request in which outstanding ones may still end. */
const settleMs = 5000;

/**
 * Plays a scenario in virtual time and returns what callers got. The daemon's services that plan, place, queue and send run as they are.
 * Simplified are: hosts never fail and have processors without limit; connections cost nothing; the delay of news is even; an
 * instance is warm for the objects that it ran last; clients draw objects evenly, and those that connect to another region
 * keep asking for the objects of their own.
 */
export async function playScenario(scenario: Scenario, seed: number): Promise<ReturnType<typeof summarize>> {
	const model = new PlacementModel(scenario, seed);
	return model.play();
}

class PlacementModel {
	readonly #scenario: Scenario;
	readonly #time = new VirtualTime();
	readonly #random: SeededRandom;
	readonly #network: ModelNetwork;
	readonly #hosts: readonly ModelHost[];
	/** Instances in the order in which they were added, with their entries. */
	readonly #instances: Array<{readonly entry: LiveInstance; readonly region: string; readonly model: ModelInstance}> = [];
	readonly #outcomes: Outcome[] = [];
	#revision = 1;

	constructor(scenario: Scenario, seed: number) {
		this.#scenario = scenario;
		this.#random = new SeededRandom(seed);
		this.#network = new ModelNetwork(this.#time, scenario.latencyMs);
		const members = scenario.regions.flatMap(region => Array.from({length: region.hosts}, (_, index): Member => {
			const id = `${region.name}-${index}`;
			return {
				id, boot: '1', region: region.name, zone: zoneOf(region.name, index, region.zones), callers: id, peers: id,
			};
		}));
		const routes = routesOf(scenario);
		const regionOf = new Map(scenario.regions.flatMap(({name, zones}) => Array.from({length: zones}, (_, index) => [zoneOf(name, index, zones), name])));
		this.#hosts = members.map((member, index) => new ModelHost({
			network: this.#network, member, members, regionOf, routes, seed: seed + (10 * index), newsDelayMs,
		}));
		for (const host of this.#hosts) {
			this.#network.planners.set(host.member.peers, host.planner);
		}
	}

	async play(): Promise<ReturnType<typeof summarize>> {
		const {seconds, leadSeconds, services, regions} = this.#scenario;
		this.#write('routes', {});
		for (const {member} of this.#hosts) {
			this.#write(`host/${member.id}`, {
				address: member.peers, role: 'entry', state: 'live', region: member.region, zone: member.zone,
			});
		}

		for (const service of services) {
			for (const {name} of regions) {
				this.#add(service, name, service.instances[name] ?? 0);
			}
		}

		for (const event of this.#scenario.events) {
			this.#schedule(event);
		}

		const clients = new ModelClients({
			scenario: this.#scenario,
			network: this.#network,
			hosts: this.#hosts,
			random: new SeededRandom(this.#random.below(1_000_000)),
			entryOf: (home, nowMs) => this.#entryOf(home, nowMs),
			factorOf: (kind, nowMs) => this.#factorOf(kind, nowMs),
			onOutcome: outcome => {
				this.#outcomes.push(outcome);
			},
		});
		clients.start();
		await this.#time.runUntil(((leadSeconds + seconds) * 1000) + settleMs);
		const outcomes = this.#outcomes.filter(outcome => outcome.startMs < seconds * 1000);
		return summarize(this.#scenario, outcomes, this.#instances.map(({entry, region, model}) => ({service: entry.service, region, runs: model.runs})));
	}

	#add(service: Service, region: string, count: number): void {
		const zones = this.#scenario.regions.find(item => item.name === region)?.zones ?? 1;
		for (let index = 0; index < count; index++) {
			const id = `${service.name}-${region}-${this.#instances.length}`;
			const entry: LiveInstance = {
				id, born: 1, service: service.name, address: id, zone: zoneOf(region, index, zones), slots: service.slots, isDraining: false, coldMs: 0,
			};
			const model = new ModelInstance({
				time: this.#time, random: new SeededRandom(this.#random.below(1_000_000)), slots: service.slots, queue: service.queue, warmObjects: service.warmObjects,
			});
			this.#instances.push({entry, region, model});
			this.#network.instances.set(id, {instance: model, region});
			this.#write(`instance/${id}`, entry);
		}
	}

	#schedule(event: Event): void {
		const startMs = (this.#scenario.leadSeconds + event.at) * 1000;
		const atStart = (run: () => void) => {
			this.#time.after(startMs, run);
		};

		const atEnd = (run: () => void) => {
			if (event.for !== undefined) {
				this.#time.after(startMs + (event.for * 1000), run);
			}
		};

		switch (event.kind) {
			case 'lose': {
				atStart(() => {
					this.#lose(event.region);
				});
				break;
			}

			case 'evacuate': {
				atStart(() => {
					this.#write(`evacuation/${event.zone}`, {});
				});
				atEnd(() => {
					this.#remove(`evacuation/${event.zone}`);
				});
				break;
			}

			case 'add': {
				atStart(() => {
					this.#add(this.#scenario.services.find(service => service.name === event.service)!, event.region, event.count);
				});
				break;
			}

			case 'slow': {
				const slow = this.#instances.filter(({entry, region}) => entry.service === event.service && region === event.region).slice(0, event.count);
				const setSlowness = (slowness: number) => () => {
					for (const {model} of slow) {
						model.slowness = slowness;
					}
				};

				atStart(setSlowness(event.factor));
				atEnd(setSlowness(1));
				break;
			}

			case 'shift':
			case 'flood': {
				// Followed by the clients.
				break;
			}
		}
	}

	#lose(region: string): void {
		for (const {entry, model} of this.#instances.filter(item => item.region === region)) {
			model.isLost = true;
			this.#time.after(expiryMs, () => {
				this.#remove(`instance/${entry.id}`);
			});
		}
	}

	#entryOf(home: string, nowMs: number): string {
		const shift = this.#scenario.events.find(event => event.kind === 'shift' && event.from === home && isActive(event, nowMs));
		return shift?.kind === 'shift' && this.#random.next() < shift.share ? shift.to : home;
	}

	#factorOf(kind: Kind, nowMs: number): number {
		const flood = this.#scenario.events.find(event => event.kind === 'flood' && event.requests === kind.name && isActive(event, nowMs));
		return flood?.kind === 'flood' ? flood.factor : 1;
	}

	#write(key: string, value: unknown): void {
		this.#revision++;
		this.#applyEverywhere({kind: 'written', item: {key, value: JSON.stringify(value), revision: this.#revision}});
	}

	#remove(key: string): void {
		this.#revision++;
		this.#applyEverywhere({
			kind: 'removed', key, revision: this.#revision, retainUntilMs: 0,
		});
	}

	#applyEverywhere(change: StoreChange): void {
		for (const host of this.#hosts) {
			host.applyLater([change]);
		}
	}
}

function isActive(event: Event, nowMs: number): boolean {
	return nowMs >= event.at * 1000 && (event.for === undefined || nowMs < (event.at + event.for) * 1000);
}

function zoneOf(region: string, index: number, zones: number): string {
	return `${region}-${'abcdefghi'.charAt(index % zones)}`;
}

function routesOf({kinds, services}: Scenario): RouteTable {
	return {
		version: 1,
		routes: kinds.map(kind => ({
			name: kind.name,
			host: 'shop.example',
			prefix: `/${kind.name}/`,
			isRepeatable: kind.isRepeatable,
			timeoutMs: kind.timeoutMs,
			targetMs: kind.targetMs,
			priority: kind.priority,
			targets: [{service: kind.service, weight: 1}],
			maxAttempts: kind.maxAttempts,
			hasAffinity: true,
			allowedRegions: [],
			isPublic: false,
		})),
		services: new Map(services.map(({name}) => [name, {healthPath: '/', maxConnections: 1000, coldPerSecond: 5}])),
		accounts: new Map(),
		accountByKey: new Map(),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 15_000,
		},
	};
}
