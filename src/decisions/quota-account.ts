import {type QuotaBucket} from './quota-bucket.js';
import {type QuotaDemand} from './quota-demand.js';
import {type quotaLimits} from './quota-limits.js';
import {type QuotaPurse} from './quota-purse.js';

/** State of the quota of one account at one host. */
export type QuotaAccount = {
	limits: ReturnType<typeof quotaLimits>;
	readonly bucket: QuotaBucket;
	readonly purse: QuotaPurse;
	readonly demand: QuotaDemand;
	/** Tokens that calls under way ask for. */
	asked: number;
	/** Time at which the quota was removed from the configuration, in monotonic milliseconds. */
	removedMs: number | undefined;
};
