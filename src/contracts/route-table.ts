import {type Route} from './route.js';

type RoutedService = {
	/** Path of the instances' health check. */
	readonly healthPath: string;
	/** Connections that an instance accepts from all hosts. */
	readonly maxConnections: number;
	/** Requests a second that a cold instance tolerates. */
	readonly coldPerSecond: number;
};

/** Bounds on what a client may send. */
type IngressLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Time in which the headers of a request have to arrive, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** One version of the published routes, immutable. */
export type RouteTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, RoutedService>;
	readonly limits: IngressLimits;
};
