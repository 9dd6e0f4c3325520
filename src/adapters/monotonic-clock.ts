import {type Clock} from '../contracts/clock.js';

/** The process's monotonic clock. */
export const monotonicClock: Clock = {
	nowMs: () => performance.now(),
};
