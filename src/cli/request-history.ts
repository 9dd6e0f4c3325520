import {z} from 'zod';

const LogLine = z.looseObject({
	timestamp: z.string(), host: z.string(), message: z.string(), request: z.string(),
});
const Figures = z.record(z.string(), z.union([z.string(), z.number()]));
type LogLine = z.infer<typeof LogLine>;

type RequestHistory = {
	/** Log lines about the request from all hosts, ordered by timestamp. */
	readonly lines: readonly LogLine[];
	/** Description of how the request ended; `undefined` if no line shows it. */
	readonly ending: string | undefined;
};

/** Explanation of each reason why a request ended without a response of an instance. */
const reasonDescriptions: Readonly<Record<string, string>> = {
	not_ready: 'the host had no configuration yet',
	no_upstream: 'no instance accepted requests; see "instance missing" and "zone evacuated" in the seconds before',
	busy: 'its deadline would have passed while it waited, or it would have delayed more urgent requests; see "load of the region"',
	paused: 'all instances of its service had asked this host for a pause',
	over_quota: 'its account had used up its quota over all hosts (status 429); "tokens" and "slots" are those of this host',
	shed: 'the instances that it was sent to refused it, and the route allowed no further attempt',
	retry_budget: 'an instance refused it and the host had used up its share of the retry budget',
	timeout: 'its deadline expired',
	no_common_region: 'no region allows both its route and its account',
	unconfirmed: 'the host could not know whether its homes had changed, or whether a later configuration allows it: nothing confirmed for too long that the host has the latest one; see "configuration" and "unconfirmedMs"',
	quarantined: 'requests with its fingerprint crashed two instances',
	stopping: 'the host was in a planned stop',
	no_memory: 'the host held as much for its clients as it may; see "the connection of a client was closed to protect this host" of these seconds',
	lost: 'the connection to the instance was lost after it was sent; it may have run',
	broken: 'the response of the instance was invalid; it may have run',
	cancelled: 'the client closed its connection',
	unauthorized: 'its route is not public and it carries no key, or none of the accounts\' keys in force',
	no_route: 'no route of the configuration in force matches it',
	no_request_id: 'it has no request id',
	body_too_large: 'its body exceeds the size limit',
	broken_off: 'its body was truncated',
};

/** Explanation of each reason why a response that had begun was not delivered whole. */
const brokenOffDescriptions: Readonly<Record<string, string>> = {
	lost: 'the instance or the connection to it failed',
	overdue: 'its deadline expired',
	cancelled: 'the client closed its connection',
	stopped: 'the planned stop of the host ended',
	too_large: 'it was too long to be held for a client of HTTP/1.0, which cannot be told otherwise where it ends',
};

/** Explanation of each reason why the connection of a client was closed. */
const closingDescriptions: Readonly<Record<string, string>> = {
	memory: 'the host held too much for its clients, and most for this one',
	connections: 'the host had too many connections',
	idle_body: 'nothing of its body arrived for the idle time of the configuration',
};

const closedMessage = 'the connection of a client was closed to protect this host';

/** Collects the log lines about one request from the logs of all hosts. Text before the JSON object of a line is ignored. */
export function requestHistory(logs: string, requestId: string): RequestHistory {
	const lines = logs.split('\n')
		.filter(line => line.includes(requestId))
		.map(line => parseLine(line))
		.filter(line => line?.request === requestId)
		.map(line => line!)
		.toSorted((a, b) => (a.timestamp < b.timestamp ? -1 : 1));
	const last = lines.findLast(line => describeEnding(line) !== undefined);
	const closing = lines.findLast(line => line.message === closedMessage);
	// A connection that the host closed is one that its requests see closed.
	const isClosedByHost = closing !== undefined && (last === undefined || (last.reason === 'cancelled' && last.host === closing.host));
	return {lines, ending: isClosedByHost ? describeClosing(closing) : last && describeEnding(last)};
}

function describeClosing({host, reason, heldBytes, allHeldBytes, connections}: LogLine): string {
	const cause = closingDescriptions[String(reason)] ?? String(reason);
	return `${host} closed the connection of the client: ${cause} (${String(heldBytes)} of ${String(allHeldBytes)} bytes held, ${String(connections)} connections); it may have run`;
}

function parseLine(line: string): LogLine | undefined {
	try {
		return LogLine.safeParse(JSON.parse(line.slice(line.indexOf('{')))).data;
	} catch {
		// A collected log may also contain lines that the daemon did not write.
		return undefined;
	}
}

function describeEnding(line: LogLine): string | undefined {
	if (line.message === 'request ended without an answer of an instance') {
		const reason = String(line.reason);
		return `${String(line.outcome)} at ${line.host} after ${String(line.tookMs)} ms: ${reasonDescriptions[reason] ?? reason}${describeFigures(line.figures)}`;
	}

	if (line.message === 'a response that an instance began was not delivered whole') {
		const reason = String(line.reason);
		return `the response of ${String(line.instance)} was not delivered whole by ${line.host}: ${brokenOffDescriptions[reason] ?? reason}`;
	}

	return line.message.startsWith('request answered') ? `${line.message} with status ${String(line.status)} of ${String(line.instance)} by ${line.host} after ${String(line.tookMs)} ms` : undefined;
}

/** Returns the inputs that determined a refusal, in brackets. */
function describeFigures(figures: unknown): string {
	const parsed = Figures.safeParse(figures);
	const parts = Object.entries(parsed.data ?? {}).map(([name, value]) => `${name} ${value}`);
	return parts.length === 0 ? '' : ` (${parts.join(', ')})`;
}
