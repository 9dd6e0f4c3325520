import {type RouteTable} from '../contracts/route-table.js';

/** Limits until the first configuration arrives. */
export const initialLimits: RouteTable['limits'] = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 15_000,
};
