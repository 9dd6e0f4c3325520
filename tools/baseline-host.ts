import {randomUUID} from 'node:crypto';
import {HttpUpstream} from '../src/adapters/http-upstream.js';
import {monotonicClock} from '../src/adapters/monotonic-clock.js';
import {type Caller} from '../src/caller.js';
import {type Publication} from '../src/config/publication.js';
import {type Outcome} from '../src/contracts/outcome.js';

type Instance = {readonly address: string; inFlight: number};

const maxAttempts = 3;

/** Baseline policy for comparison: a host without coordination, which sends each request to the instance with the fewest requests of this host in flight. */
export class BaselineHost {
	readonly #upstream = new HttpUpstream({clock: monotonicClock, maxAnswerBytes: 1_000_000, maxConnections: 700});
	readonly #instances = new Map<string, readonly Instance[]>();

	constructor(publication: Publication, region: string) {
		for (const [name, service] of Object.entries(publication.services)) {
			const places = service.places.filter(place => place.region === region);
			this.#instances.set(name, places.flatMap(place => place.instances.map(instance => ({address: instance.address, inFlight: 0}))));
		}
	}

	/** Sends a request; one that was not run, such as a shed one, is retried at the next instance. */
	async send(req: Parameters<Caller['send']>[0]): Promise<Outcome> {
		const deadlineMs = performance.now() + req.deadlineMs;
		const instances = this.#instances.get(req.service) ?? [];
		let outcome: Outcome = {
			kind: 'not-run', reason: 'no_upstream', detail: '', retryAfterMs: 0,
		};
		const attempted = new Set<Instance>();
		for (let index = 0; index < maxAttempts; index++) {
			const [leastLoaded] = instances.filter(instance => !attempted.has(instance)).toSorted((a, b) => a.inFlight - b.inFlight);
			if (leastLoaded === undefined) {
				return outcome;
			}

			attempted.add(leastLoaded);
			leastLoaded.inFlight++;
			outcome = await this.#call(leastLoaded.address, req, deadlineMs - performance.now());
			leastLoaded.inFlight--;
			if (outcome.kind !== 'not-run') {
				return outcome;
			}
		}

		return outcome;
	}

	close(): void {
		this.#upstream.close();
	}

	async #call(address: string, req: Parameters<Caller['send']>[0], remainingMs: number): Promise<Outcome> {
		const result = await this.#upstream.call({
			address,
			head: {
				requestId: randomUUID(), service: req.service, className: req.className, method: 'POST', path: req.path ?? '/', remainingMs, headers: {}, region: '', caller: '', fingerprint: '',
			},
			body: req.body ?? new Uint8Array(),
			isRepeatable: req.isRepeatable,
			remainingMs,
			shedMeansNotRun: true,
			signal: new AbortController().signal,
		});
		return result.outcome;
	}
}
