import {type Result} from '../result.js';
import {type ListedHost} from './listed-host.js';

type HostListError = {readonly code: 'unavailable' | 'invalid_answer'; readonly message: string};

/** The platform's list of hosts; it lags, so it bootstraps and hints, and is never proof of life. */
export type HostList = {
	readonly fetch: () => Promise<Result<readonly ListedHost[], HostListError>>;
};
