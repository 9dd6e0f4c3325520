import {type SeededRandom} from '../../src/decisions/seeded-random.js';
import {type ModelHost} from './model-host.js';
import {type ModelNetwork} from './model-network.js';
import {type Scenario} from './scenario.js';

type Kind = Scenario['kinds'][number];
type Region = Scenario['regions'][number];

/** What a client got for one request, counted from its first attempt. */
type Outcome = {
	readonly kind: Kind;
	/** Region of the clients to which the request's object belongs, and the one whose host received it. */
	readonly home: string;
	readonly entry: string;
	/** Moment of the first attempt, in milliseconds from the first request. */
	readonly startMs: number;
	readonly latencyMs: number;
	readonly result: 'in_aim' | 'late' | 'refused' | 'failed';
	/** Region in which it ran, and whether the instance was warm for its object; `undefined` if it did not run. */
	readonly ran: {readonly region: string; readonly isWarm: boolean} | undefined;
};

type ClientsOptions = {
	readonly scenario: Scenario;
	readonly network: ModelNetwork;
	readonly hosts: readonly ModelHost[];
	readonly random: SeededRandom;
	/** Returns the region to which a client of a region connects at a time. */
	readonly entryOf: (home: string, nowMs: number) => string;
	/** Returns by how much the requests of a kind are multiplied at a time. */
	readonly factorOf: (kind: Kind, nowMs: number) => number;
	readonly onOutcome: (outcome: Outcome) => void;
};

type Attempt = {readonly kind: Kind; readonly objectKey: string; readonly home: string; readonly entry: string; readonly startMs: number; attempts: number; ran: Outcome['ran']};

/** Clients wait for at most this share of the time that they have left before they send a refused request again. */
const maxRetryWaitShare = 1 / 3;
const maxAttempts = 2;
const requestHost = 'shop.example';

/** Clients of all regions in the model: they send requests at random moments and once more after a refusal, or after a failure of a repeatable one. */
export class ModelClients {
	readonly #options: ClientsOptions;
	readonly #leadMs: number;
	#sent = 0;

	constructor(options: ClientsOptions) {
		this.#options = options;
		this.#leadMs = options.scenario.leadSeconds * 1000;
	}

	/** Starts the requests of all kinds of all regions. */
	start(): void {
		for (const [index, region] of this.#options.scenario.regions.entries()) {
			for (const kind of this.#options.scenario.kinds) {
				this.#scheduleNext(kind, region, index, this.#leadMs);
			}
		}
	}

	/** Draws arrivals at the highest rate and keeps those that the rate at their moment allows. */
	#scheduleNext(kind: Kind, region: Region, index: number, fromMs: number): void {
		const {network, random, scenario, factorOf} = this.#options;
		const {time} = network;
		const peak = 1 + (scenario.wave?.swing ?? 0);
		const factors = Math.max(1, ...scenario.events.map(event => (event.kind === 'flood' && event.requests === kind.name ? event.factor : 1)));
		const perSecond = kind.perSecond * region.traffic * peak * factors;
		const atMs = fromMs - (Math.log(1 - random.next()) * 1000 / perSecond);
		time.after(atMs - time.nowMs(), () => {
			const nowMs = atMs - this.#leadMs;
			const rate = this.#wave(index, nowMs) * factorOf(kind, nowMs) / (peak * factors);
			if (random.next() < rate) {
				void this.#request(kind, region.name, nowMs);
			}

			this.#scheduleNext(kind, region, index, atMs);
		});
	}

	#wave(index: number, nowMs: number): number {
		const {wave, regions} = this.#options.scenario;
		return wave === undefined ? 1 : 1 + (wave.swing * Math.sin(2 * Math.PI * ((nowMs / 1000 / wave.periodSeconds) + (index / regions.length))));
	}

	async #request(kind: Kind, home: string, startMs: number): Promise<void> {
		const {random, scenario, entryOf} = this.#options;
		const share = scenario.regions.find(region => region.name === home)!.traffic;
		const objects = Math.max(1, Math.round(kind.objects * share));
		const attempt: Attempt = {
			kind, home, startMs, entry: entryOf(home, startMs), objectKey: `${kind.name}.${home}.${random.below(objects)}`, attempts: 0, ran: undefined,
		};
		const result = await this.#attempt(attempt);
		const latencyMs = this.#options.network.time.nowMs() - this.#leadMs - startMs;
		this.#options.onOutcome({
			kind, home, entry: attempt.entry, startMs, latencyMs, ran: attempt.ran, result: result === 'answered' ? (latencyMs <= kind.targetMs ? 'in_aim' : 'late') : result,
		});
	}

	async #attempt(attempt: Attempt): Promise<'answered' | 'refused' | 'failed'> {
		const {network, random, hosts, scenario} = this.#options;
		const {kind, objectKey, entry, startMs} = attempt;
		const {time} = network;
		attempt.attempts++;
		this.#sent++;
		const requestId = `m${this.#sent}`;
		const local = hosts.filter(host => host.member.region === entry);
		const host = local[random.below(local.length)]!;
		const remainingMs = startMs + kind.deadlineMs - (time.nowMs() - this.#leadMs);
		const leaving = new AbortController();
		time.after(remainingMs, () => {
			leaving.abort();
		});
		network.requests.set(requestId, {
			kind, objectKey, onRun(region, isWarm) {
				attempt.ran ??= {region, isWarm};
			},
		});
		await time.sleep(scenario.latencyMs.clients);
		const outcome = await host.proxy.handle({
			requestId,
			objectKey,
			remainingMs: remainingMs - scenario.latencyMs.clients,
			accountKey: undefined,
			method: 'GET',
			host: requestHost,
			target: `/${kind.name}/x`,
			headers: [],
			arrivedMs: time.nowMs(),
			readBody: async () => ({kind: 'none'}),
			waitForTurn: async () => true,
			disconnect: leaving.signal,
		});
		await time.sleep(scenario.latencyMs.clients);
		network.requests.delete(requestId);
		if (outcome.kind === 'answer') {
			return 'answered';
		}

		const leftMs = startMs + kind.deadlineMs - (time.nowMs() - this.#leadMs);
		const waitMs = outcome.kind === 'not_run' ? outcome.retryAfterMs : 0;
		const mayRepeat = outcome.kind === 'not_run' || kind.isRepeatable;
		if (attempt.attempts < maxAttempts && mayRepeat && leftMs > 0 && waitMs <= leftMs * maxRetryWaitShare) {
			await time.sleep(waitMs);
			return this.#attempt(attempt);
		}

		return outcome.kind === 'not_run' ? 'refused' : 'failed';
	}
}
