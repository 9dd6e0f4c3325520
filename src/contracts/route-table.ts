import {type Account} from './account.js';
import {type Route} from './route.js';

type RoutedService = {
	/** Path of the instances' health check. */
	readonly healthPath: string;
	/** Number of connections that an instance accepts from all hosts together. */
	readonly maxConnections: number;
	/** Request rate that a cold instance tolerates, in requests per second. */
	readonly coldPerSecond: number;
};

/** Limits on the requests and connections of clients. */
type IngressLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Time within which the headers of a request must have been received, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** Immutable version of the published routes, services and limits. */
export type RouteTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, RoutedService>;
	readonly limits: IngressLimits;
	/** Client accounts by name; empty if the configuration has none: then requests need no key. */
	readonly accounts: ReadonlyMap<string, Account>;
	/** Client accounts by each of their keys. The keys are secret: they must not be logged or sent to instances. */
	readonly accountByKey: ReadonlyMap<string, Account>;
};
