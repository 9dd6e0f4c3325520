import {randomUUID} from 'node:crypto';
import {HttpUpstream} from '../src/adapters/http-upstream.js';
import {monotonicClock} from '../src/adapters/monotonic-clock.js';
import {type Caller} from '../src/caller.js';
import {type Publication} from '../src/config/publication.js';
import {type Outcome} from '../src/contracts/outcome.js';

type Instance = {readonly address: string; inFlight: number};

const tries = 3;

/** The policy to compare with: a host on its own, which sends each request to the instance with the fewest of its own in flight. */
export class BaselineHost {
	readonly #upstream = new HttpUpstream({clock: monotonicClock, maxAnswerBytes: 1_000_000, maxConnections: 700});
	readonly #instances = new Map<string, readonly Instance[]>();

	constructor(publication: Publication, region: string) {
		for (const [name, service] of Object.entries(publication.services)) {
			const places = service.places.filter(place => place.region === region);
			this.#instances.set(name, places.flatMap(place => place.instances.map(instance => ({address: instance.address, inFlight: 0}))));
		}
	}

	/** Sends a request as the policy decides; a shed one is tried at the next instance. */
	async send(req: Parameters<Caller['send']>[0]): Promise<Outcome> {
		const deadlineMs = performance.now() + req.deadlineMs;
		const instances = this.#instances.get(req.service) ?? [];
		let outcome: Outcome = {
			kind: 'not-run', reason: 'no_upstream', detail: '', retryAfterMs: 0,
		};
		const tried = new Set<Instance>();
		for (let index = 0; index < tries; index++) {
			const [best] = instances.filter(instance => !tried.has(instance)).toSorted((a, b) => a.inFlight - b.inFlight);
			if (best === undefined) {
				return outcome;
			}

			tried.add(best);
			best.inFlight++;
			outcome = await this.#call(best.address, req, deadlineMs - performance.now());
			best.inFlight--;
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
			work: {
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
