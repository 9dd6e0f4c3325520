import {type InstanceClient} from '../../src/adapters/instance-client.js';
import {type Member} from '../../src/contracts/member.js';
import {type RouteTable} from '../../src/contracts/route-table.js';
import {type StoreChange} from '../../src/contracts/store-change.js';
import {ColdRateLimiter} from '../../src/decisions/cold-rate-limiter.js';
import {InstanceTable} from '../../src/decisions/instance-table.js';
import {Placement} from '../../src/decisions/placement.js';
import {rendezvousOrder} from '../../src/decisions/rendezvous-order.js';
import {RetryShare} from '../../src/decisions/retry-share.js';
import {SeededRandom} from '../../src/decisions/seeded-random.js';
import {AttemptObserver} from '../../src/services/attempt-observer.js';
import {NoticeRecorder} from '../../src/services/notice-recorder.js';
import {PlannerService} from '../../src/services/planner-service.js';
import {ProxyService} from '../../src/services/proxy-service.js';
import {SteeringService} from '../../src/services/steering-service.js';
import {type ModelNetwork} from './model-network.js';
import {modelItems} from './model-items.js';

type HostOptions = {
	readonly network: ModelNetwork;
	readonly member: Member;
	/** Members of all regions, in the order of their ids. */
	readonly members: readonly Member[];
	readonly regionOf: ReadonlyMap<string, string>;
	readonly routes: RouteTable;
	readonly seed: number;
	/** Longest delay of the news of a change. */
	readonly newsDelayMs: number;
};

const ignore = () => undefined;
const silentLogger = {
	info: ignore, debug: ignore, warn: ignore, error: ignore, limited: ignore,
};
const noMetrics = {gauge: ignore, count: ignore, observe: ignore};
/** Shares of the retry budget, and bound of requests to cold instances, as the platform's deployments set them. */
const retryBudget = {ratio: 0.2, slack: 120, windowMs: 10_000};
const coldLimitPerSecond = (perSecond: number) => (perSecond * 1.5) + 5;

/** A host in the model: the services that plan, place and send, as they are in the daemon, with the network, the store and the membership replaced. */
export class ModelHost {
	readonly planner: PlannerService;
	readonly proxy: ProxyService;
	readonly member: Member;
	readonly #network: ModelNetwork;
	readonly #random: SeededRandom;
	readonly #newsDelayMs: number;
	#listener: (changes: readonly StoreChange[], source: string) => void = ignore;

	constructor({network, member, members, regionOf, routes, seed, newsDelayMs}: HostOptions) {
		const {time} = network;
		const clock = time;
		this.member = member;
		this.#network = network;
		this.#random = new SeededRandom(seed);
		this.#newsDelayMs = newsDelayMs;
		const own = members.filter(other => other.region === member.region);
		const instances = new InstanceTable({regionOf});
		const notices = new NoticeRecorder({
			clock, logger: silentLogger, metrics: noMetrics, instances,
		});
		const steering = new SteeringService({
			clock, logger: silentLogger, metrics: noMetrics, instances, itemCodec: modelItems(routes), replica: {
				onChange: listener => {
					this.#listener = listener;
				},
				onNewEra: () => undefined,
				unconfirmedMs: 0,
			},
		});
		const lifecycle = {
			every: (_name: string, intervalMs: number, run: () => void) => {
				time.repeat(intervalMs, run, this.#random.next() * intervalMs);
			},
		};
		steering.start(lifecycle);
		this.planner = new PlannerService({
			clock, logger: silentLogger, metrics: noMetrics, instances, steering, notices, maxReportedObjects: 1000, maxPlannedObjects: 4000,
			members: {
				ownerOf: service => rendezvousOrder(service, own, other => other.id)[0]!,
				isSelf: other => other.id === member.id,
				membership: {
					self: member,
					otherRegions: () => [...new Set(members.map(other => other.region))].filter(region => region !== member.region),
					hostsOf: region => members.filter(other => other.region === region),
				},
			},
			peerClient: network.peersOf(member),
		});
		this.planner.start(lifecycle);
		const client: Pick<InstanceClient, 'send'> = {send: async call => network.send(member, call)};
		this.proxy = new ProxyService({
			clock, logger: silentLogger, metrics: noMetrics, steering, client, notices,
			placement: new Placement({
				table: instances,
				coldLimiter: new ColdRateLimiter(),
				random: new SeededRandom(seed + 1),
				region: member.region,
				hostsByRegion: () => steering.hostsByRegion(),
				assignments: this.planner.assignments,
				prioritiesOf: service => this.planner.prioritiesOf(service),
				urgentTargetMs: service => steering.targetMs(service, this.planner.prioritiesOf(service)[0]),
				reservationOf: service => this.planner.reservationOf(service),
				coldShare: instanceId => (rendezvousOrder(instanceId, own, other => other.id)[0]!.id === member.id ? 1 / 3 : 0),
			}),
			retries: new RetryShare(retryBudget),
			quarantine: {
				isBlocked: () => false, isSuspect: () => false, reportCrash: async () => undefined, clearAfterResponse: ignore,
			},
			planner: this.planner,
			quotas: {take: async () => ({kind: 'granted', hasWaited: false, giveBack: ignore})},
			turns: {next: async () => undefined},
			observer: new AttemptObserver({
				clock, metrics: noMetrics, planner: this.planner, region: member.region,
			}),
			random: new SeededRandom(seed + 2),
			maxUnconfirmedMs: Number.POSITIVE_INFINITY,
			countHosts: () => members.length,
			coldLimitPerSecond,
		});
	}

	/** Applies changes of the store after the time that the news takes to this host. */
	applyLater(changes: readonly StoreChange[]): void {
		this.#network.time.after(this.#random.next() * this.#newsDelayMs, () => {
			this.#listener(changes, 'store');
		});
	}
}
