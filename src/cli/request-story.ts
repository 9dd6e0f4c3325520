import {z} from 'zod';

const LogLine = z.looseObject({
	timestamp: z.string(), host: z.string(), message: z.string(), request: z.string(),
});
type LogLine = z.infer<typeof LogLine>;

type RequestStory = {
	/** The request's lines of all hosts, in the order of their time. */
	readonly lines: readonly LogLine[];
	/** What ended the request, for people; `undefined` if no line tells. */
	readonly ending: string | undefined;
};

/** What each reason of an end without an answer means. */
const meanings: Readonly<Record<string, string>> = {
	not_ready: 'the host had no configuration yet',
	no_upstream: 'no instance took work; see "instance missing" and "zone evacuated" of the seconds before',
	busy: 'its time would have passed while it waited, or it would have held up more urgent requests; see "load of the region"',
	shed: 'the instances it was offered to refused it, and the route allows no more of them',
	retry_budget: 'an instance refused it and the share of repeats was spent',
	timeout: 'its time passed',
	quarantined: 'requests like it broke two instances',
	stopping: 'the host was in a planned stop',
	lost: 'the connection broke after it was sent; it may have run',
	broken: 'what came back was no answer to it; it may have run',
	cancelled: 'the client left',
	no_route: 'no route of the configuration in force takes it',
	no_request_id: 'it has no id',
	body_too_large: 'its body is larger than the limit',
	broken_off: 'its body ended early',
};

/** Collects the lines about one request from the logs of all hosts; text before a line's JSON object is passed over. */
export function requestStory(logs: string, requestId: string): RequestStory {
	const lines = logs.split('\n')
		.filter(line => line.includes(requestId))
		.map(line => parseLine(line))
		.filter(line => line?.request === requestId)
		.map(line => line!)
		.toSorted((a, b) => (a.timestamp < b.timestamp ? -1 : 1));
	return {lines, ending: lines.map(line => endingOf(line)).findLast(ending => ending !== undefined)};
}

function parseLine(line: string): LogLine | undefined {
	try {
		return LogLine.safeParse(JSON.parse(line.slice(line.indexOf('{')))).data;
	} catch {
		// Not every line of a collected log is one of ours.
		return undefined;
	}
}

function endingOf(line: LogLine): string | undefined {
	if (line.message === 'request ended without an answer of an instance') {
		const reason = String(line.reason);
		return `${String(line.outcome)} at ${line.host} after ${String(line.tookMs)} ms: ${meanings[reason] ?? reason}`;
	}

	return line.message.startsWith('request answered') ? `${line.message} with status ${String(line.status)} of ${String(line.instance)} by ${line.host} after ${String(line.tookMs)} ms` : undefined;
}
