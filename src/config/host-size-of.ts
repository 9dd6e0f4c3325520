import {type HostSize} from '../contracts/host-size.js';
import {type SteeringSettings} from './steering-settings.js';

/** Returns the size of a host from the table `[capacity]` of its settings; `undefined` without it. */
export function hostSizeOf(capacity: SteeringSettings['capacity']): HostSize | undefined {
	return capacity === undefined ? undefined : {processor: capacity.cpuShare * capacity.cores, linkMbps: capacity.linkMbps};
}
