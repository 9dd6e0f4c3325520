import {type InstanceCall} from '../../src/contracts/instance-call.js';
import {type InstanceResult} from '../../src/contracts/instance-result.js';
import {type Member} from '../../src/contracts/member.js';
import {PlacementReport} from '../../src/contracts/placement-report.js';
import {type RegionLoad} from '../../src/contracts/region-load.js';
import {type PlannerService} from '../../src/services/planner-service.js';
import {type ModelInstance} from './model-instance.js';
import {type Scenario} from './scenario.js';
import {type VirtualTime} from './virtual-time.js';

type Kind = Scenario['kinds'][number];

/** A request in flight, as far as an instance needs to know it. */
type ModelRequest = {
	readonly kind: Kind;
	readonly objectKey: string;
	/** Called when an instance has run the request. */
	readonly onRun: (region: string, isWarm: boolean) => void;
};

type PlacedInstance = {readonly instance: ModelInstance; readonly region: string};

type Response = Parameters<Parameters<ModelInstance['receive']>[0]['respond']>[0];

/** Times of calls between hosts of one region beyond the latency. */
const peerCallMs = 2;

/** Carries requests to instances and calls between hosts, with the latencies of the scenario. */
export class ModelNetwork {
	readonly time: VirtualTime;
	/** Instances by address. */
	readonly instances = new Map<string, PlacedInstance>();
	/** Requests in flight by id. */
	readonly requests = new Map<string, ModelRequest>();
	/** Planner services by the address of their host. */
	readonly planners = new Map<string, PlannerService>();
	readonly #latencyMs: Scenario['latencyMs'];

	constructor(time: VirtualTime, latencyMs: Scenario['latencyMs']) {
		this.time = time;
		this.#latencyMs = latencyMs;
	}

	/** Sends a request from a host to an instance, as the daemon's client of instances does. */
	async send(from: Member, call: InstanceCall): Promise<InstanceResult> {
		const {time} = this;
		const placed = this.instances.get(call.address);
		const request = this.requests.get(call.requestId)!;
		const latencyMs = this.#between(from.region, placed?.region ?? from.region);
		if (placed === undefined || placed.instance.isLost) {
			await time.sleep(2 * latencyMs);
			return {kind: 'not_sent', detail: 'connection refused'};
		}

		const deadlineMs = time.nowMs() + call.remainingMs;
		return new Promise(resolve => {
			let cancelRun: () => void = () => undefined;
			const abandon = (result: InstanceResult) => {
				resolve(result);
				time.after(latencyMs, cancelRun);
			};

			time.after(call.remainingMs, () => {
				abandon({kind: 'overdue'});
			});
			call.disconnect.addEventListener('abort', () => {
				abandon({kind: 'cancelled'});
			});
			time.after(latencyMs, () => {
				cancelRun = placed.instance.receive({
					objectKey: request.objectKey,
					workMs: request.kind.workMs,
					warmShare: request.kind.warmShare,
					deadlineMs,
					respond(response) {
						if (response.hasRun) {
							request.onRun(placed.region, response.isWarm);
						}

						time.after(latencyMs, () => {
							resolve(toResult(call, response));
						});
					},
				});
			});
		});
	}

	/** Returns the calls from a host to the planner services of others; each takes a round trip. */
	peersOf(from: Member) {
		const call = async <T>(address: string, run: (planner: PlannerService) => T | Promise<T>): Promise<T> => {
			const region = [...this.planners.keys()].includes(address) ? address.split('-')[0]! : from.region;
			const latencyMs = this.#between(from.region, region) + peerCallMs;
			await this.time.sleep(latencyMs);
			const planner = this.planners.get(address);
			if (planner === undefined) {
				throw new Error(`no host at ${address}`);
			}

			const result = await run(planner);
			await this.time.sleep(latencyMs);
			return result;
		};

		return {
			steering: (address: string) => ({
				report: {mutate: async (report: PlacementReport) => call(address, planner => planner.receiveReport(PlacementReport.parse(report)))},
				regionLoad: {mutate: async ({load, isRelayed}: {readonly load: RegionLoad; readonly isRelayed: boolean}) => call(address, async planner => planner.receiveRegionLoad(load, isRelayed))},
			}),
		};
	}

	#between(region: string, other: string): number {
		return region === other ? this.#latencyMs.region : this.#latencyMs.regions;
	}
}

function toResult(call: InstanceCall, {hasRun, load}: Response): InstanceResult {
	const head = {
		status: hasRun ? 200 : 503, headers: [], info: {
			requestId: call.requestId, isSigned: true, isNotRun: !hasRun, isMisdirected: false, instanceId: call.instanceId, isLeaving: false, pauseMs: undefined, load,
		},
	};
	return hasRun
		? {
			kind: 'whole', ...head, framing: 'length', body: new Uint8Array(),
		}
		: {kind: 'not_run', ...head};
}
