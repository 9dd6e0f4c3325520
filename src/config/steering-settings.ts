import {z} from 'zod';
import {Name} from './name.js';
import {SocketAddress} from './socket-address.js';

const Milliseconds = z.int().min(1).max(86_400_000);

/** Limits that the platform imposes on the system. */
const Bounds = z.strictObject({
	/** Maximum ratio of retries to requests for a service in one window, over all hosts. */
	retryRatio: z.number().min(0).max(10).default(0.2),
	/** Number of retries that are allowed in addition for a service in one window, over all hosts. */
	retrySlack: z.number().min(0).default(100),
	retryWindowMs: Milliseconds.default(10_000),
	/** Limit of the requests to a cold instance in any second: the rate that the instance tolerates times this factor, plus `coldTolerance`. */
	coldMultiplier: z.number().min(0).default(1.5),
	coldTolerance: z.number().min(0).default(0),
	/** Length of the sliding window in which the requests of an account are counted, over all hosts. */
	quotaWindowMs: Milliseconds.default(5000),
	/** Share of an account's quota in one window by which the count may exceed it. */
	quotaOverage: z.number().min(0).default(0.1),
	/** Number of requests by which the count may exceed the quota in addition. */
	quotaTolerance: z.number().min(0).default(20),
	/** Time after the store's acknowledgement of a configuration from which every host must act by it, in milliseconds. */
	configApplyMs: Milliseconds.default(4000),
	/** Time from the stop signal until the platform kills the process, in milliseconds. */
	graceMs: Milliseconds.default(6000),
});

/** What the host of a daemon can bear. */
const Capacity = z.strictObject({
	/** Share of one core that the daemon may use. */
	cpuShare: z.number().positive(),
	/** Speed of the core, as a multiple of the usual one. */
	cores: z.number().positive(),
	/** Memory at which the platform ends the process, in megabytes. */
	memoryMb: z.number().positive(),
	/** Number of open descriptors; the platform reserves some of them for files. */
	maxDescriptors: z.int().positive(),
	/** Bandwidth of the host's link, in megabits per second. */
	linkMbps: z.number().positive(),
});

/** Limits of what the host holds for clients. Those without a default derive from `capacity`. */
const Clients = z.strictObject({
	/** Memory that is held for all clients, in megabytes. */
	budgetMb: z.number().positive().optional(),
	/** Share of the budget that only connections with little in progress may use, so that ordinary requests are served beside large ones. */
	reservedShare: z.number().min(0).max(0.9).default(0.25),
	/** Number of requests of one connection without a complete response from which no more are read. Twice as many as are sent on at once. */
	maxRequestsAhead: z.int().min(1).default(32),
	/** Number of open connections of clients. */
	maxConnections: z.int().min(1).optional(),
	/** Number of open connections to instances. */
	maxInstanceConnections: z.int().min(1).optional(),
	/** Longest wait of a request for memory, in milliseconds: some round trips of others, and shorter than most deadlines. */
	memoryWaitMs: Milliseconds.default(1000),
	/** Number of objects whose requests a host reports at a time, and of objects that a region's planner assigns. */
	maxReportedObjects: z.int().min(1).default(1000),
	maxPlannedObjects: z.int().min(1).default(4000),
});

/** Settings of a daemon that serves published routes: identity of the host, addresses to listen at, store, limits of the platform. */
export const SteeringSettings = z.strictObject({
	host: z.strictObject({id: Name, region: Name, zone: Name}),
	/** Region of each availability zone. */
	zones: z.record(Name, Name),
	listen: z.strictObject({
		/** Address for clients' requests. */
		clients: SocketAddress,
		/** Address at which the platform checks whether this host accepts requests. */
		readiness: SocketAddress,
		/** Address at which clients request the list of hosts. */
		directory: SocketAddress,
		/** Address for other daemons, with one port for RPC over TCP and gossip over UDP. */
		peers: SocketAddress,
		/** Address for metrics. */
		metrics: SocketAddress,
	}),
	store: z.strictObject({address: SocketAddress, timeoutMs: Milliseconds.default(800)}),
	/** Addresses of other daemons, which may be out of date. */
	seeds: z.array(SocketAddress).default([]),
	bounds: Bounds.prefault({}),
	/** Without it, no limit is derived from the size of the host. */
	capacity: Capacity.optional(),
	clients: Clients.prefault({}),
	log: z.strictObject({level: z.enum(['error', 'warn', 'info', 'debug']).default('info')}).prefault({}),
});

/** Parsed settings of a daemon that serves published routes. */
export type SteeringSettings = Readonly<z.infer<typeof SteeringSettings>>;
