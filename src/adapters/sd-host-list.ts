import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {type Clock} from '../contracts/clock.js';
import {type HostList} from '../contracts/host-list.js';
import {httpExchange} from './http-exchange.js';
import {PoolSet} from './pool-set.js';

type SdHostListOptions = {
	/** IPv4 address and port of the list's server. */
	readonly address: string;
	/** Timeout of a call. */
	readonly timeoutMs: number;
	readonly clock: Clock;
};

/** Limit of the response body: 3,000 hosts with their labels. */
const maxAnswerBytes = 4_000_000;

/** Target groups of the Prometheus HTTP service-discovery format. */
const TargetGroups = z.array(z.object({
	targets: z.array(z.string()),
	labels: z.object({
		role: z.enum(['entry', 'upstream']),
		state: z.enum(['live', 'leaving']),
		region: z.string(),
		zone: z.string(),
	}),
}));

/** Client of the platform's list of hosts, which has the Prometheus HTTP service-discovery format. */
export class SdHostList implements HostList {
	readonly #options: SdHostListOptions;
	readonly #pools: PoolSet;

	constructor(options: SdHostListOptions) {
		this.#options = options;
		this.#pools = new PoolSet({
			clock: options.clock, idleLimitMs: 2000, connectTimeoutMs: options.timeoutMs, exchangeLimitMs: options.timeoutMs, maxConnections: 2,
		});
	}

	async fetch(): ReturnType<HostList['fetch']> {
		const result = await httpExchange({
			pool: this.#pools.get(this.#options.address),
			method: 'GET',
			path: '/v1/targets',
			headers: {},
			body: undefined,
			timeoutMs: this.#options.timeoutMs,
			maxAnswerBytes,
			signal: undefined,
			startMs: this.#options.clock.nowMs(),
		});
		if (result.kind !== 'answered' || result.status !== 200) {
			return {success: false, error: {code: 'unavailable', message: `no valid response from the host list (${result.kind})`}};
		}

		return parseTargets(result.body);
	}

	/** Closes the connections to the list's server. */
	close(): void {
		this.#pools.close();
	}
}

function parseTargets(body: Uint8Array): Awaited<ReturnType<HostList['fetch']>> {
	let raw: unknown;
	try {
		raw = JSON.parse(Buffer.from(body).toString());
	} catch {
		return {success: false, error: {code: 'invalid_answer', message: 'the host list is not JSON'}};
	}

	const groups = TargetGroups.safeParse(raw);
	if (!groups.success) {
		return {success: false, error: {code: 'invalid_answer', message: 'the host list has an unexpected shape'}};
	}

	const hosts = groups.data.flatMap(group => group.targets.map(address => ({address, ...group.labels})));
	return {success: true, data: hosts};
}
