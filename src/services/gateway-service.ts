import {randomUUID} from 'node:crypto';
import {type Clock} from '../contracts/clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {type RequestHead} from '../contracts/request-head.js';
import {type ConfigService} from './config-service.js';
import {fingerprintOf} from './fingerprint-of.js';
import {type HomeService} from './home-service.js';
import {type Job} from './job.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {type QuarantineService} from './quarantine-service.js';
import {type RouteService} from './route-service.js';
import {type Tracer} from './tracer.js';

type GatewayOptions = {
	readonly clock: Clock;
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly route: RouteService;
	readonly home: HomeService;
	readonly quarantine: QuarantineService;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
	/** Maximum total size of the request bodies held at once, in bytes. */
	readonly maxBufferedBytes: number;
};

/** A caller's request as received, before validation. */
type CallerRequest = {
	readonly service: string;
	readonly className: string | undefined;
	/** Time allowed by the caller in milliseconds, as header text; the class's deadline applies if absent. */
	readonly deadlineMs: string | undefined;
	readonly key: string | undefined;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly traceparent: string | undefined;
	readonly caller: string;
	readonly signal: AbortSignal;
};

type Refusal = Outcome & {kind: 'not-run'};

const methods = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']);
const maxPathCharacters = 2048;
/**
 * Shortest usable deadline: the hops to the upstream alone take about as long, so requests with less time are refused at
 * once.
 */
const minDeadlineMs = 2;

/** Validates callers' requests, assigns request ids and returns an outcome for each request. */
export class GatewayService {
	readonly #options: GatewayOptions;
	#inFlight = 0;
	#bufferedBytes = 0;

	constructor(options: GatewayOptions) {
		this.#options = options;
	}

	/** Number of callers' requests that have no outcome yet. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Runs a request and returns its outcome. */
	async handle(req: CallerRequest): Promise<Outcome> {
		const {clock, metrics, tracer} = this.#options;
		const startMs = clock.nowMs();
		const checked = this.#check(req, startMs);
		if (isRefusal(checked)) {
			metrics.count('requests', {outcome: checked.kind, reason: checked.reason});
			return checked;
		}

		this.#inFlight++;
		this.#bufferedBytes += req.body.byteLength;
		const span = tracer.start('gateway', req.traceparent, {service: req.service, class: checked.head.className});
		const job: Job = {...checked, head: {...checked.head, traceparent: span.traceparent}};
		try {
			const outcome = job.isRepeatable ? await this.#options.route.route(job) : await this.#options.home.run(job);
			span.end(outcome.kind);
			metrics.count('requests', {outcome: outcome.kind, reason: outcome.kind === 'whole' ? '' : outcome.reason});
			metrics.observe('request_seconds', {service: req.service, class: job.head.className}, clock.nowMs() - startMs);
			return outcome;
		} finally {
			this.#inFlight--;
			this.#bufferedBytes -= req.body.byteLength;
		}
	}

	#check(req: CallerRequest, nowMs: number): Job | Refusal {
		const {config, quarantine, maxBufferedBytes} = this.#options;
		const cfg = config.current;
		if (cfg === undefined) {
			return refusal('not_ready', 'this host has no configuration yet', 1000);
		}

		const service = cfg.service(req.service);
		if (service === undefined) {
			return refusal('unknown_service', `unknown service "${req.service}"; expected one of: ${Object.keys(cfg.publication.services).join(', ')}`);
		}

		const def = service.classes.find(item => item.name === req.className);
		if (def === undefined) {
			return refusal('unknown_class', `the header Cowslipspar-Class must name a class of ${req.service}: ${service.classes.map(item => item.name).join(', ')}`);
		}

		if (!methods.has(req.method)) {
			return refusal('bad_request', `the method ${req.method} is not supported; expected one of: ${[...methods].join(', ')}`);
		}

		if (req.path.length > maxPathCharacters) {
			return refusal('too_large', `the path exceeds ${maxPathCharacters} characters`);
		}

		const allowedMs = req.deadlineMs === undefined ? def.deadlineMs : Number(req.deadlineMs);
		if (!Number.isFinite(allowedMs) || !/^\d+(\.\d+)?$/.test(req.deadlineMs ?? '1')) {
			return refusal('bad_request', 'the header Cowslipspar-Deadline-Ms must be a number of milliseconds');
		}

		if (allowedMs <= 0) {
			return refusal('deadline_expired', 'the deadline has passed');
		}

		if (allowedMs < minDeadlineMs) {
			return refusal('deadline_unreachable', `the deadline is too short: forwarding alone takes about ${minDeadlineMs} ms`);
		}

		if (!def.repeatable && req.key === undefined) {
			return refusal('key_required', `requests of class ${def.name} are not repeatable and require an Idempotency-Key header`);
		}

		if (this.#bufferedBytes + req.body.byteLength > maxBufferedBytes) {
			return refusal('buffers_full', 'the request buffers of this host are full', 500);
		}

		const head = this.#toHead(req, def.name, def.repeatable ? undefined : req.key, Math.min(allowedMs, def.deadlineMs));
		if (quarantine.isBlocked(head.fingerprint)) {
			return refusal('quarantined', 'several upstreams were lost while they ran this request; an operator can lift the quarantine', 60_000);
		}

		return {
			head, body: req.body, deadlineMs: nowMs + head.remainingMs, isRepeatable: def.repeatable, signal: req.signal,
		};
	}

	#toHead(req: CallerRequest, className: string, key: string | undefined, remainingMs: number): RequestHead {
		return {
			requestId: randomUUID(),
			service: req.service,
			className,
			method: req.method,
			path: req.path,
			remainingMs,
			key,
			headers: req.headers,
			traceparent: req.traceparent,
			region: this.#options.members.membership.self.region,
			caller: req.caller,
			fingerprint: fingerprintOf(req),
		};
	}
}

function isRefusal(value: Job | Refusal): value is Refusal {
	return 'kind' in value;
}

function refusal(reason: Refusal['reason'], detail: string, retryAfterMs = 0): Refusal {
	return {
		kind: 'not-run', reason, detail, retryAfterMs,
	};
}
