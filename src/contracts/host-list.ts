import {type Result} from '../result.js';
import {type ListedHost} from './listed-host.js';

type HostListError = {readonly code: 'unavailable' | 'invalid_answer'; readonly message: string};

/** The platform's list of hosts. It lags behind, so it only supplies addresses to contact and never proves that a host is alive. */
export type HostList = {
	/** Fetches the list; returns an error if the service does not respond or its response is invalid. */
	readonly fetch: () => Promise<Result<readonly ListedHost[], HostListError>>;
};
