import {type InstanceResult} from '../contracts/instance-result.js';
import {type RequestAttempts} from '../decisions/request-attempts.js';

/** Returns what the result of a send says about whether the request ran. */
export function toAttemptResult(result: InstanceResult): Parameters<RequestAttempts['recordResult']>[0] {
	switch (result.kind) {
		case 'whole':
		case 'partial': {
			return 'answered';
		}

		case 'not_run': {
			return 'rejected';
		}

		case 'outdated':
		case 'not_sent': {
			return 'not_sent';
		}

		case 'broken':
		case 'lost':
		case 'overdue':
		case 'cancelled': {
			return 'unknown';
		}
	}
}
