import {type HostSize} from './host-size.js';

/** Entry of a host in the platform's list. */
export type ListedHost = {
	/** IPv4 address and port. */
	readonly address: string;
	readonly role: 'entry' | 'upstream';
	readonly state: 'live' | 'leaving';
	readonly region: string;
	readonly zone: string;
	/** `undefined` if the host does not know its size, or runs an earlier release. */
	readonly size?: HostSize;
};
