import {z} from 'zod';
import {Name} from './name.js';
import {SocketAddress} from './socket-address.js';

const Milliseconds = z.int().min(1).max(86_400_000);

/** What the operators' platform holds the system to. */
const Bounds = z.strictObject({
	/** Repeated sends to a service, as a share of the requests for it in a window, over all hosts. */
	retryRatio: z.number().min(0).max(10).default(0.2),
	/** Repeated sends to a service allowed beside those in a window, over all hosts. */
	retrySlack: z.number().min(0).default(100),
	retryWindowMs: Milliseconds.default(10_000),
	/** Requests in any second to a cold instance: its own rate times this, and the tolerance. */
	coldMultiplier: z.number().min(0).default(1.5),
	coldTolerance: z.number().min(0).default(0),
	/** Time from the word to stop until a process is ended by force, in milliseconds. */
	graceMs: Milliseconds.default(6000),
});

/** Settings of a daemon that serves published routes: who the host is, where it listens, which store it uses. */
export const SteeringSettings = z.strictObject({
	host: z.strictObject({id: Name, region: Name, zone: Name}),
	/** Region of each availability zone. */
	zones: z.record(Name, Name),
	listen: z.strictObject({
		/** Address for clients' requests. */
		clients: SocketAddress,
		/** Address at which the platform asks whether this host takes requests. */
		readiness: SocketAddress,
		/** Address at which clients ask for hosts. */
		directory: SocketAddress,
		/** Address for other daemons: TCP for calls, UDP for gossip, one port. */
		peers: SocketAddress,
		/** Address for metrics. */
		metrics: SocketAddress,
	}),
	store: z.strictObject({address: SocketAddress, timeoutMs: Milliseconds.default(800)}),
	/** Addresses of other daemons, which may be stale. */
	seeds: z.array(SocketAddress).default([]),
	bounds: Bounds.prefault({}),
	log: z.strictObject({level: z.enum(['error', 'warn', 'info', 'debug']).default('info')}).prefault({}),
});

/** Parsed settings of a daemon that serves published routes. */
export type SteeringSettings = Readonly<z.infer<typeof SteeringSettings>>;
