import {type InstanceResult} from '../contracts/instance-result.js';
import {type ProxyOutcome} from './proxy-outcome.js';

/** Returns the reason for which it is unknown whether a request ran, by the result of its last send. */
export function toUnknownReason(result: InstanceResult): Extract<ProxyOutcome, {kind: 'unknown'}>['reason'] {
	switch (result.kind) {
		case 'cancelled': {
			return 'cancelled';
		}

		case 'broken': {
			return 'broken';
		}

		case 'whole':
		case 'partial':
		case 'not_run':
		case 'outdated':
		case 'not_sent':
		case 'lost':
		case 'overdue': {
			return 'lost';
		}
	}
}
