import {type Result} from '../result.js';

type ListedHost = {
	/** IPv4 number and port. */
	readonly address: string;
	readonly role: 'entry' | 'upstream';
	readonly state: 'live' | 'leaving';
	readonly region: string;
	readonly zone: string;
};

type HostListError = {readonly code: 'unavailable' | 'invalid_answer'; readonly message: string};

/** The platform's list of hosts; it lags, so it bootstraps and hints, and is never proof of life. */
export type HostList = {
	readonly fetch: () => Promise<Result<readonly ListedHost[], HostListError>>;
};
