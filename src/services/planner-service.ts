import {type Clock} from '../contracts/clock.js';
import {type PlacementReport} from '../contracts/placement-report.js';
import {PlacementUpdate} from '../contracts/placement-update.js';
import {type RegionLoad} from '../contracts/region-load.js';
import {type InstanceTable} from '../decisions/instance-table.js';
import {objectId} from '../decisions/object-id.js';
import {memberKey} from '../decisions/member-key.js';
import {PrioritiesInUse} from '../decisions/priorities-in-use.js';
import {SlownessEstimator} from '../decisions/slowness-estimator.js';
import {RequestedObjects} from '../decisions/requested-objects.js';
import {PlacementPlan} from '../decisions/placement-plan.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {type NoticeRecorder} from './notice-recorder.js';
import {type SteeringService} from './steering-service.js';

/** Calls to the planners of other hosts. */
type PlannerPeers = {
	readonly steering: (address: string) => {
		readonly report: {readonly mutate: (report: PlacementReport) => Promise<unknown>};
		readonly regionLoad: {readonly mutate: (message: {readonly load: RegionLoad; readonly isRelayed: boolean}) => Promise<unknown>};
	};
};

type PlannerOptions = {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'debug'>;
	readonly metrics: Pick<Metrics, 'gauge'>;
	readonly members: Pick<MembersService, 'ownerOf' | 'isSelf'> & {readonly membership: Pick<MembersService['membership'], 'self' | 'otherRegions' | 'hostsOf'>};
	readonly peerClient: PlannerPeers;
	readonly instances: InstanceTable;
	readonly steering: Pick<SteeringService, 'priorities' | 'hasAccounts' | 'hostsByRegion'>;
	readonly notices: Pick<NoticeRecorder, 'recordLeaving'>;
	/** Number of objects in one report. */
	readonly maxReportedObjects: number;
	/** Number of objects that the planner assigns. */
	readonly maxPlannedObjects: number;
};

type Reservation = {readonly priority: number; readonly instanceIds: ReadonlySet<string>};
type ObjectRun = {readonly service: string; readonly route: string; readonly priority: number; readonly objectKey: string; readonly instanceId: string};
type ObjectRequest = {readonly service: string; readonly route: string; readonly priority: number; readonly objectKey: string; readonly allowedRegions: readonly string[]};

/** Interval of the plans, and of the reports to the planner while objects lack an assignment. */
const tickMs = 500;
/** Ticks between two reports of a host that sees neither unassigned objects nor slow instances. */
const ticksPerRegularReport = 2;
/** Ticks between two load messages to the other regions' planners. */
const ticksPerRegionLoad = 2;
/** Ticks between two log lines of the region's load. */
const ticksPerLog = 10;
/** Added to the latest known version when this host becomes planner, so that its plan exceeds any version of the previous planner that is still in transit. */
const versionStep = 1_000_000;

/** Multiple of the planned objects that a host's assignments may reach: some withdrawals may not have reached it. */
const staleAssignmentsFactor = 2;

/** Reports the requested objects to the region's planner, and assigns objects to instances while this host is the planner. */
export class PlannerService {
	/** Estimates how slow the region's instances are, from this host's requests. */
	readonly slownessEstimator = new SlownessEstimator();
	readonly #options: PlannerOptions;
	readonly #assignments = new Map<string, string>();
	readonly #requests: RequestedObjects<ObjectRequest>;
	readonly #runs = new Map<string, Omit<ObjectRun, 'instanceId'> & {runs: number; totalMs: number}>();
	readonly #responseTimes = new Map<string, {readonly service: string; readonly route: string; shortestMs: number}>();
	readonly #prioritiesInUse = new PrioritiesInUse();
	#reservations: ReadonlyMap<string, Reservation> = new Map();
	/** Priorities that the planner reports as in use, by service. */
	#reportedPriorities: ReadonlyMap<string, readonly number[]> = new Map();
	#version = 0;
	/** Key of the planner that accepted the latest report. */
	#lastPlannerKey = '';
	#plan: PlacementPlan | undefined;
	#isReporting = false;
	#ticks = 0;
	#ticksSinceReport = 0;
	/** Number of leaving instances in the latest report that the planner accepted. */
	#reportedLeaving = 0;

	constructor(options: PlannerOptions) {
		this.#options = options;
		this.#requests = new RequestedObjects(options.maxReportedObjects);
	}

	/** Instance ids by object id, as last received from the planner. */
	get assignments(): ReadonlyMap<string, string> {
		return this.#assignments;
	}

	/** Returns the instances that the planner reserves for the most urgent requests of a service. */
	reservationOf(service: string): Reservation | undefined {
		return this.#reservations.get(service);
	}

	/** Returns the priorities of the requests for a service, the most urgent first: with accounts those in use, otherwise those of its routes. */
	prioritiesOf(service: string): readonly number[] {
		const {steering, clock} = this.#options;
		const possible = steering.priorities.get(service) ?? [];
		return steering.hasAccounts
			? this.#prioritiesInUse.of(service, {reported: this.#reportedPriorities.get(service), possible}, clock.nowMs())
			: possible;
	}

	start(lifecycle: Pick<Lifecycle, 'every'>): void {
		lifecycle.every('placement', tickMs, () => {
			this.#tick();
		});
		this.#options.metrics.gauge('objects_assigned', () => this.#assignments.size);
	}

	/** Records a request on a route with affinity: its priority and, if it concerns an object, that for this host's next report to the planner. */
	recordRequest({objectKey, ...fields}: Omit<ObjectRequest, 'objectKey'> & {readonly objectKey: string | undefined}): void {
		this.#prioritiesInUse.record(fields.service, fields.priority, this.#options.clock.nowMs());
		if (objectKey !== undefined) {
			this.#recordObject({...fields, objectKey});
		}
	}

	/** Records the time of a run that did not wait for a slot; ignored unless it ran at the instance to which its object is assigned. */
	recordRun({service, route, priority, objectKey, instanceId}: ObjectRun, runMs: number): void {
		const id = objectId(service, priority, objectKey);
		if (this.#assignments.get(id) !== instanceId) {
			return;
		}

		const key = `${id}|${route}`;
		if (this.#runs.size >= this.#options.maxReportedObjects && !this.#runs.has(key)) {
			return;
		}

		const entry = this.#runs.get(key) ?? {
			service, route, priority, objectKey, runs: 0, totalMs: 0,
		};
		entry.runs++;
		entry.totalMs += runMs;
		this.#runs.set(key, entry);
	}

	/** Records the time until a response that did not wait for a slot; the shortest one per route is reported. */
	recordResponseTime(service: string, route: string, tookMs: number): void {
		const key = `${service}|${route}`;
		const entry = this.#responseTimes.get(key) ?? {
			service, route, shortestMs: tookMs,
		};
		entry.shortestMs = Math.min(entry.shortestMs, tookMs);
		this.#responseTimes.set(key, entry);
	}

	/** Merges a host's report into the region's plan and returns the assignments that the host lacks. */
	receiveReport(report: PlacementReport): PlacementUpdate {
		this.#recordLeaving(report.leaving, report.host);
		const plan = this.#ensurePlan();
		const update = plan.applyReport(report, this.#options.clock.nowMs());
		return {...update, leaving: this.#leavingInstances(), ...(this.#options.steering.hasAccounts && {inUse: plan.prioritiesInUse})};
	}

	/** Merges another region's load if this host is the planner; otherwise relays it to the region's planner, unless it was relayed already. */
	async receiveRegionLoad(load: RegionLoad, isRelayed: boolean): Promise<void> {
		const {members, peerClient, clock} = this.#options;
		const planner = members.ownerOf('placement');
		if (members.isSelf(planner) || isRelayed) {
			this.#plan?.applyRegionLoad(load, clock.nowMs());
			return;
		}

		await peerClient.steering(planner.peers).regionLoad.mutate({load, isRelayed: true});
	}

	#recordObject(req: ObjectRequest): void {
		const id = objectId(req.service, req.priority, req.objectKey);
		this.#requests.add(`${id}|${req.route}`, req, this.#assignments.has(id));
	}

	#tick(): void {
		const {members, clock, instances, logger, steering} = this.#options;
		const isPlanner = members.isSelf(members.ownerOf('placement'));
		if (isPlanner) {
			const nowMs = clock.nowMs();
			const plan = this.#ensurePlan();
			plan.tick({
				instances: instances.available(nowMs), priorities: steering.priorities, hasAccounts: steering.hasAccounts, hosts: steering.hostsByRegion(),
			}, nowMs);
			this.#ticks++;
			if (this.#ticks % ticksPerLog === 0) {
				logger.info('load of the region', {...plan.regionLoad(), slow: plan.slowInstances(nowMs), kept: plan.objectCapacities});
			}

			if (this.#ticks % ticksPerRegionLoad === 0) {
				void this.#sendRegionLoad(plan.regionLoad());
			}
		} else if (this.#plan !== undefined) {
			logger.info('this host no longer plans for its region');
			this.#plan = undefined;
		}

		this.#ticksSinceReport++;
		const hasNotices = instances.leaving().length !== this.#reportedLeaving || instances.paused(clock.nowMs()).length > 0;
		const isDue = this.#ticksSinceReport >= ticksPerRegularReport || this.#requests.hasUnassigned || hasNotices || this.slownessEstimator.slowInstances(clock.nowMs()).length > 0;
		if (!this.#isReporting && isDue) {
			this.#ticksSinceReport = 0;
			void this.#report(isPlanner);
		}
	}

	#ensurePlan(): PlacementPlan {
		if (this.#plan === undefined) {
			const {members, logger, clock} = this.#options;
			logger.info('this host plans for its region', {objects: this.#assignments.size, version: this.#version});
			this.#plan = new PlacementPlan({region: members.membership.self.region, maxObjects: this.#options.maxPlannedObjects}, this.#version + versionStep, this.#assignments, clock.nowMs());
		}

		return this.#plan;
	}

	async #report(isPlanner: boolean): Promise<void> {
		const {members, peerClient, logger, instances, clock} = this.#options;
		const planner = members.ownerOf('placement');
		const plannerKey = memberKey(planner);
		const report: PlacementReport = {
			haveVersion: this.#version,
			host: members.membership.self.id,
			slow: this.slownessEstimator.slowInstances(clock.nowMs()),
			leaving: this.#leavingInstances(),
			paused: instances.paused(clock.nowMs()).map(({id, pauseMs}) => [id, Math.round(pauseMs)]),
			known: plannerKey === this.#lastPlannerKey ? [] : [...this.#assignments],
			routes: [...this.#responseTimes.values()].map(entry => [entry.service, entry.route, Math.round(entry.shortestMs)]),
			runs: [...this.#runs.values()].map(entry => [entry.service, entry.route, entry.priority, entry.objectKey, Math.round(entry.totalMs / entry.runs)]),
			objects: this.#requests.take().map(([entry, count]) => [entry.service, entry.route, entry.priority, entry.objectKey, count, [...entry.allowedRegions]]),
		};
		this.#responseTimes.clear();
		this.#runs.clear();
		this.#isReporting = true;
		try {
			this.#applyUpdate(isPlanner ? this.receiveReport(report) : PlacementUpdate.parse(await peerClient.steering(planner.peers).report.mutate(report)));
			this.#lastPlannerKey = plannerKey;
			this.#reportedLeaving = report.leaving?.length ?? 0;
		} catch (err) {
			logger.debug('reporting to the planner failed', {err: String(err)});
		} finally {
			this.#isReporting = false;
		}
	}

	#leavingInstances(): Array<[id: string, born: number, address: string]> {
		return this.#options.instances.leaving().map(({id, born, address}) => [id, born, address]);
	}

	#recordLeaving(leaving: PlacementReport['leaving'], source: string): void {
		for (const [id, born, address] of leaving ?? []) {
			this.#options.notices.recordLeaving({id, born, address}, source);
		}
	}

	#applyUpdate(update: PlacementUpdate): void {
		this.#version = update.version;
		this.#recordLeaving(update.leaving, 'planner');
		this.#reportedPriorities = new Map(update.inUse);
		this.#reservations = new Map(update.reserved.map(([service, priority, ids]) => [service, {priority, instanceIds: new Set(ids)}]));
		for (const [id, instanceId] of update.entries) {
			if (instanceId === '') {
				this.#assignments.delete(id);
			} else {
				// An assignment that was set again is the newest one.
				this.#assignments.delete(id);
				this.#assignments.set(id, instanceId);
			}
		}

		this.#dropOldestAssignments();
	}

	/** Bounds the assignments: those of which the planner said nothing for longest may be ones whose withdrawal did not reach this host. */
	#dropOldestAssignments(): void {
		let excess = this.#assignments.size - (this.#options.maxPlannedObjects * staleAssignmentsFactor);
		for (const id of this.#assignments.keys()) {
			if (excess <= 0) {
				return;
			}

			this.#assignments.delete(id);
			excess--;
		}
	}

	async #sendRegionLoad(load: RegionLoad): Promise<void> {
		const {members, peerClient, logger} = this.#options;
		const {membership} = members;
		await Promise.all(membership.otherRegions().map(async region => {
			const [host] = membership.hostsOf(region);
			try {
				await (host === undefined ? undefined : peerClient.steering(host.peers).regionLoad.mutate({load, isRelayed: false}));
			} catch (err) {
				logger.debug('sending the load of this region to another region failed', {region, err: String(err)});
			}
		}));
	}
}
