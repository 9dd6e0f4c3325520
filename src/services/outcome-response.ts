import {type Outcome} from '../contracts/outcome.js';

const problemTypePrefix = 'urn:cowslipspar:problem:';
const defaultRefusalStatus = 503;
const unknownStatus = 504;

const statusByReason: Readonly<Partial<Record<string, number>>> = {
	bad_request: 400,
	unknown_service: 404,
	unknown_class: 400,
	key_required: 400,
	key_invalid: 422,
	too_large: 413,
	deadline_expired: 408,
	quarantined: 422,
	token_sealed: 409,
	rate_limited: 429,
};

/** HTTP response to a caller. */
type CallerResponse = {readonly status: number; readonly headers: Record<string, string>; readonly body: Uint8Array | string};

/** Converts an outcome to an HTTP response; refusals and unknown outcomes become problem details (RFC 9457). */
export function outcomeResponse(outcome: Outcome, requestPath: string): CallerResponse {
	switch (outcome.kind) {
		case 'whole': {
			return {
				status: outcome.status,
				headers: {...outcome.headers, 'cowslipspar-outcome': 'whole', ...(outcome.isReplay && {'cowslipspar-replay': '1'})},
				body: outcome.body,
			};
		}

		case 'not-run': {
			const headers: Record<string, string> = {'content-type': 'application/problem+json', 'cowslipspar-outcome': 'not-run', 'cowslipspar-reason': outcome.reason};
			if (outcome.retryAfterMs > 0) {
				headers['retry-after'] = String(Math.ceil(outcome.retryAfterMs / 1000));
				headers['cowslipspar-retry-after-ms'] = String(Math.ceil(outcome.retryAfterMs));
			}

			const status = statusByReason[outcome.reason] ?? defaultRefusalStatus;
			return {
				status, headers, body: problem({
					status, reason: outcome.reason, title: 'The request did not run', detail: outcome.detail, instance: requestPath,
				}),
			};
		}

		case 'unknown': {
			return {
				status: unknownStatus,
				headers: {'content-type': 'application/problem+json', 'cowslipspar-outcome': 'unknown', 'cowslipspar-reason': outcome.reason},
				body: problem({
					status: unknownStatus, reason: outcome.reason, title: 'It is not known whether the request ran', detail: outcome.detail, instance: requestPath,
				}),
			};
		}
	}
}

function problem(fields: {status: number; reason: string; title: string; detail: string; instance: string}): string {
	const {reason, ...rest} = fields;
	return JSON.stringify({type: `${problemTypePrefix}${reason}`, ...rest});
}
