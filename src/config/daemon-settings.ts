import {z} from 'zod';
import {Name} from './name.js';
import {SocketAddress} from './socket-address.js';

const Milliseconds = z.int().min(1).max(86_400_000);

const Limits = z.strictObject({
	/** Maximum size of a request body, in bytes. */
	maxRequestBytes: z.int().min(1024).max(16_777_216).default(1_048_576),
	/** Maximum size of a response body, in bytes. */
	maxAnswerBytes: z.int().min(1024).max(67_108_864).default(4_194_304),
	/** Maximum total size of the request and response bodies that are buffered at the same time, in bytes. */
	maxBufferedBytes: z.int().min(1_048_576).max(1_073_741_824).default(67_108_864),
	/** Maximum number of requests in the queues of one service. */
	maxQueued: z.int().min(1).max(1_000_000).default(20_000),
	/** Time within which a caller must have sent its whole request, in milliseconds. */
	receiveTimeoutMs: Milliseconds.default(10_000),
});

const Gossip = z.strictObject({
	/** Interval between probes of the failure detector, in milliseconds. */
	periodMs: Milliseconds.default(1000),
	/** Time without an acknowledgement of a direct probe after which indirect probes are sent, in milliseconds. */
	probeTimeoutMs: Milliseconds.default(300),
	/** Suspicion timeout in periods; it is multiplied by the decimal logarithm of the region's size if that is above 1. */
	suspicionPeriods: z.int().min(1).max(60).default(3),
	/** Time without a tick of its event loop after which the process counts as paused, in milliseconds. */
	pauseLimitMs: Milliseconds.default(2000),
});

const Stop = z.strictObject({
	/** Maximum duration of a planned stop, in milliseconds. */
	graceMs: Milliseconds.default(60_000),
	/** Time for which callers may cache a lookup response, in milliseconds. */
	lookupTtlMs: Milliseconds.default(5000),
});

/** Settings file of `cowslipspard`: identity of the host, addresses to listen at, platform services, limits. */
export const DaemonSettings = z.strictObject({
	host: z.strictObject({id: Name, region: Name, zone: Name}),
	listen: z.strictObject({
		/** Address for callers: lookups and requests. */
		callers: SocketAddress,
		/** Address for other daemons, with one port for RPC over TCP and gossip over UDP. */
		peers: SocketAddress,
		/** Address for operators: health, metrics, status and drains. */
		operators: SocketAddress,
	}),
	store: z.strictObject({
		address: SocketAddress,
		prefix: z.string().regex(/^[a-z\d/-]{0,100}$/).default('cowslipspar/'),
		timeoutMs: Milliseconds.default(2000),
	}),
	hostList: z.strictObject({address: SocketAddress, pollMs: Milliseconds.default(5000)}),
	trace: z.strictObject({otlp: z.url().optional()}).default({}),
	limits: Limits.prefault({}),
	gossip: Gossip.prefault({}),
	stop: Stop.prefault({}),
});

/** Parsed settings of `cowslipspard`. */
export type DaemonSettings = Readonly<z.infer<typeof DaemonSettings>>;
