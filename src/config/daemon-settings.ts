import {z} from 'zod';
import {Name} from './name.js';
import {SocketAddress} from './socket-address.js';

const Milliseconds = z.int().min(1).max(86_400_000);

const Limits = z.strictObject({
	/** Bytes of one request body that the daemon accepts. */
	maxRequestBytes: z.int().min(1024).max(16_777_216).default(1_048_576),
	/** Bytes of one answer body that the daemon passes on. */
	maxAnswerBytes: z.int().min(1024).max(67_108_864).default(4_194_304),
	/** Bytes of request and answer bodies held at once. */
	maxBufferedBytes: z.int().min(1_048_576).max(1_073_741_824).default(67_108_864),
	/** Requests that wait in one service's queues. */
	maxQueued: z.int().min(1).max(1_000_000).default(20_000),
	/** Time a caller may take to send its request, in milliseconds. */
	receiveTimeoutMs: Milliseconds.default(10_000),
});

const Gossip = z.strictObject({
	/** Interval between failure-detector probes, in milliseconds. */
	periodMs: Milliseconds.default(1000),
	/** Time allowed for a direct probe before indirect ones, in milliseconds. */
	probeTimeoutMs: Milliseconds.default(300),
	/** Suspicion time is this multiple of the period and of the logarithm of the region's size. */
	suspicionPeriods: z.int().min(1).max(60).default(3),
	/** A silence of the daemon's own event loop longer than this counts as a pause, in milliseconds. */
	pauseLimitMs: Milliseconds.default(2000),
});

const Stop = z.strictObject({
	/** Longest time for a planned stop, in milliseconds. */
	graceMs: Milliseconds.default(60_000),
	/** Time for which callers may cache a look-up answer, in milliseconds. */
	lookupTtlMs: Milliseconds.default(5000),
});

/** Settings file of `cowslipspard`: who the host is, where it listens, which platform services it uses. */
export const DaemonSettings = z.strictObject({
	host: z.strictObject({id: Name, region: Name, zone: Name}),
	listen: z.strictObject({
		/** Address for callers: look-ups and requests. */
		callers: SocketAddress,
		/** Address for other daemons: TCP for calls, UDP for gossip, one port. */
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
