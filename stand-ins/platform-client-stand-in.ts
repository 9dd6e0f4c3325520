import {request as httpRequest} from 'node:http';
import {request} from 'undici';
import {collectBody} from './collect-body.js';

type ClientOptions = {
	readonly region: string;
	readonly zone: string;
	/** Host name that the client resolves at a directory and sends as the `Host` header. */
	readonly host: string;
	/** Addresses of the daemons' directories, which return the addresses to connect to. */
	readonly directories: readonly string[];
};

type ClientRequest = {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly objectKey: string;
	readonly deadlineMs: number;
	readonly body: string;
};

/** Outcome of a request: a response of any status, or none. */
type ClientOutcome = {readonly kind: 'answered'; readonly status: number; readonly text: string; readonly retryAfterMs: number} | {readonly kind: 'lost'; readonly detail: string};

const resolveTimeoutMs = 1000;

/** Client of the platform: resolves the host name at a directory and sends each request on a connection of its own. */
export class PlatformClientStandIn {
	readonly #options: ClientOptions;
	#resolved: {readonly addresses: readonly string[]; readonly untilMs: number} = {addresses: [], untilMs: 0};
	#sentRequests = 0;

	constructor(options: ClientOptions) {
		this.#options = options;
	}

	/** Sends one request and returns its outcome. */
	async send(req: ClientRequest): Promise<ClientOutcome> {
		const addresses = await this.#resolveAddresses();
		if (addresses.length === 0) {
			return {kind: 'lost', detail: 'no directory returned an address'};
		}

		this.#sentRequests++;
		const [host, port] = addresses[this.#sentRequests % addresses.length]!.split(':');
		return new Promise(resolve => {
			const resolveLost = (err: Error) => {
				resolve({kind: 'lost', detail: err.message});
			};

			const clientReq = httpRequest({
				host,
				port: Number(port),
				method: req.method,
				path: req.path,
				agent: false,
				signal: AbortSignal.timeout(req.deadlineMs),
				headers: {
					Host: this.#options.host, 'X-Request-Id': req.id, 'X-Affinity-Key': req.objectKey, 'X-Deadline-Ms': String(req.deadlineMs), 'Content-Length': String(req.body.length),
				},
			}, async res => {
				try {
					const text = await collectBody(res);
					const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * 1000;
					resolve({
						kind: 'answered', status: res.statusCode!, text, retryAfterMs,
					});
				} catch (err) {
					resolveLost(err as Error);
				}
			});
			clientReq.on('error', resolveLost);
			clientReq.end(req.body);
		});
	}

	async #resolveAddresses(): Promise<readonly string[]> {
		if (performance.now() < this.#resolved.untilMs) {
			return this.#resolved.addresses;
		}

		const {region, zone, host, directories} = this.#options;
		for (const directory of directories) {
			try {
				const res = await request(`http://${directory}/-/resolve?name=${host}&region=${region}&zone=${zone}`, {headersTimeout: resolveTimeoutMs, bodyTimeout: resolveTimeoutMs});
				const {addresses = [], ttl_s: ttlS = 0} = await res.body.json() as {addresses?: string[]; ttl_s?: number};
				if (addresses.length > 0) {
					this.#resolved = {addresses, untilMs: performance.now() + (ttlS * 1000)};
					break;
				}
			} catch {
				// A directory that does not respond is skipped; the next one is tried.
			}
		}

		return this.#resolved.addresses;
	}
}
