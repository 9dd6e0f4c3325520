import {type HttpDialect} from '../contracts/http-dialect.js';
import {type ProxyOutcome} from './proxy-outcome.js';

type ErrorOutcome = Exclude<ProxyOutcome, {kind: 'answer'}>;
type ErrorResponse = {readonly status: number; readonly headers: readonly string[]};

/** Returns the response for a request that no instance answered. */
export function errorResponse(outcome: ErrorOutcome, {challenge}: Pick<HttpDialect, 'challenge'>): ErrorResponse {
	switch (outcome.kind) {
		case 'not_run': {
			return {status: outcome.reason === 'over_quota' ? 429 : 503, headers: ['Retry-After', (outcome.retryAfterMs / 1000).toFixed(2)]};
		}

		case 'unknown': {
			return {status: outcome.reason === 'timeout' ? 504 : 502, headers: []};
		}

		case 'invalid': {
			return {status: statusOfInvalid(outcome.reason), headers: outcome.reason === 'unauthorized' ? challenge : []};
		}
	}
}

function statusOfInvalid(reason: Extract<ErrorOutcome, {kind: 'invalid'}>['reason']): number {
	switch (reason) {
		case 'no_route': {
			return 404;
		}

		case 'unauthorized': {
			return 401;
		}

		case 'no_request_id':
		case 'broken_off': {
			return 400;
		}

		case 'body_too_large': {
			return 413;
		}
	}
}
