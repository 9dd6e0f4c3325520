import {request as httpRequest} from 'node:http';
import {request} from 'undici';
import {collectBody} from './collect-body.js';

type ClientOptions = {
	readonly region: string;
	readonly zone: string;
	/** Host name of the requests. */
	readonly host: string;
	/** Addresses of daemons that answer where to connect. */
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

/** How a request ended: an answer of any status, or none. */
type ClientAnswer = {readonly kind: 'answered'; readonly status: number; readonly text: string; readonly retryAfterMs: number} | {readonly kind: 'lost'; readonly detail: string};

const resolveTimeoutMs = 1000;

/** A client of the platform's contract: asks the directory where to connect, and sends each request on a connection of its own. */
export class PlatformClientStandIn {
	readonly #options: ClientOptions;
	#known: {readonly addresses: readonly string[]; readonly untilMs: number} = {addresses: [], untilMs: 0};
	#turn = 0;

	constructor(options: ClientOptions) {
		this.#options = options;
	}

	/** Sends one request and waits for its end. */
	async send(req: ClientRequest): Promise<ClientAnswer> {
		const addresses = await this.#addresses();
		if (addresses.length === 0) {
			return {kind: 'lost', detail: 'no directory answered'};
		}

		this.#turn++;
		const [host, port] = addresses[this.#turn % addresses.length]!.split(':');
		return new Promise(resolve => {
			const lost = (err: Error) => {
				resolve({kind: 'lost', detail: err.message});
			};

			const out = httpRequest({
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
					lost(err as Error);
				}
			});
			out.on('error', lost);
			out.end(req.body);
		});
	}

	async #addresses(): Promise<readonly string[]> {
		if (performance.now() < this.#known.untilMs) {
			return this.#known.addresses;
		}

		const {region, zone, host, directories} = this.#options;
		for (const directory of directories) {
			try {
				const res = await request(`http://${directory}/-/resolve?name=${host}&region=${region}&zone=${zone}`, {headersTimeout: resolveTimeoutMs, bodyTimeout: resolveTimeoutMs});
				const {addresses = [], ttl_s: ttlS = 0} = await res.body.json() as {addresses?: string[]; ttl_s?: number};
				if (addresses.length > 0) {
					this.#known = {addresses, untilMs: performance.now() + (ttlS * 1000)};
					break;
				}
			} catch {
				// A directory that does not answer is passed over; the next one is asked.
			}
		}

		return this.#known.addresses;
	}
}
