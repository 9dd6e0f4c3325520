import {type InstanceCall} from '../contracts/instance-call.js';
import {fingerprintKinds} from '../decisions/fingerprint-kinds.js';
import {fingerprintOf} from './fingerprint-of.js';
import {type ProxyOutcome} from './proxy-outcome.js';
import {type ProxyRequest} from './proxy-request.js';
import {type QuarantineService} from './quarantine-service.js';
import {RequestDigest} from './request-digest.js';
import {StreamedBody} from './streamed-body.js';

type Options = {
	readonly req: Pick<ProxyRequest, 'readBody'>;
	readonly head: ConstructorParameters<typeof RequestDigest>[0];
	readonly quarantine: Pick<QuarantineService, 'isBlocked' | 'isSuspect'>;
	/** Time until the request must have its response, in milliseconds. */
	readonly remainingMs: number;
};

/** Body in the form in which it is sent, and what identifies its request. */
type IdentifiedBody = {
	readonly content: InstanceCall['body'];
	/** Whether the body can be sent only once. */
	readonly isStreamed: boolean;
	/** Fingerprint as far as the body is known. */
	readonly fingerprint: string;
	/** Fingerprints under which the loss of an instance is reported. */
	readonly crashFingerprints: readonly string[];
	/** Reads what has not been passed on, so that the fingerprint is known, for `limitMs` milliseconds at most. */
	readonly readToEnd: (limitMs: number) => Promise<void>;
};

type Result =
	| {readonly kind: 'read'; readonly body: IdentifiedBody}
	| {readonly kind: 'failed'; readonly outcome: Extract<ProxyOutcome, {kind: 'invalid' | 'not_run'}>};

/** Request bodies up to this size are buffered, so that they can be sent again. */
const maxBufferedBodyBytes = 65_536;
/** Share of a request's time for which its body may be held before it is passed on. */
const maxHeldShare = 0.5;
const noMemoryRetryAfterMs = 1000;

/**
 * Reads the body of a request. A long one is streamed, unless an instance was lost while it ran a request that begins alike: then it is held, if there
 * is room, so that the request is identified before any of it is sent.
 */
export async function readIdentifiedBody({req, head, quarantine, remainingMs}: Options): Promise<Result> {
	let beginning = '';
	let isSuspect = false;
	const body = await req.readBody({
		maxBufferedBytes: maxBufferedBodyBytes,
		shouldHold(start) {
			beginning = new RequestDigest(head).update(start.subarray(0, maxBufferedBodyBytes)).value();
			isSuspect = quarantine.isSuspect(fingerprintKinds.mark('beginning', beginning));
			return isSuspect;
		},
		holdMs: Math.max(0, remainingMs * maxHeldShare),
	});
	switch (body.kind) {
		case 'too_large': {
			return {kind: 'failed', outcome: {kind: 'invalid', reason: 'body_too_large'}};
		}

		case 'no_memory': {
			return {kind: 'failed', outcome: {kind: 'not_run', reason: 'no_memory', retryAfterMs: noMemoryRetryAfterMs}};
		}

		case 'broken': {
			return {kind: 'failed', outcome: {kind: 'invalid', reason: 'broken_off'}};
		}

		case 'stream': {
			return {
				kind: 'read', body: new StreamedBody({
					head, beginning, source: body.source, isSuspect, mayEnd: fingerprint => !quarantine.isBlocked(fingerprint),
				}),
			};
		}

		case 'whole':
		case 'none': {
			const content = body.kind === 'whole' ? body.bytes : undefined;
			const fingerprint = fingerprintOf({...head, body: content});
			return {
				kind: 'read', body: {
					content, isStreamed: false, fingerprint, crashFingerprints: [fingerprint], readToEnd: async () => undefined,
				},
			};
		}
	}
}
