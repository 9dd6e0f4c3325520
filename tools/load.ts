import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type Caller} from '../src/caller.js';
import {type Outcome} from '../src/contracts/outcome.js';
import {type SeededRandom} from '../src/decisions/seeded-random.js';

/** Requests of one class in a load. */
type Stream = {
	readonly service: string;
	readonly className: string;
	readonly isRepeatable: boolean;
	readonly deadlineMs: number;
	/** Mean rate; the gaps between requests are exponentially distributed. */
	readonly perSecond: number;
	/** Text with which the bodies begin. */
	readonly marker?: string;
	/** Senders of this stream, instead of those of the load. */
	readonly callers?: ReadonlyArray<Pick<Caller, 'send'>>;
};

type FinishedRequest = {
	readonly stream: Stream;
	/** Body of the request, unique to it. */
	readonly body: string;
	readonly outcome: Outcome;
	readonly latencyMs: number;
	/** Whether the response is complete and echoes the body of this request. */
	readonly isOwnResponse: boolean;
};

type LoadOptions = {
	readonly streams: readonly Stream[];
	/** Senders, used in turn. */
	readonly callers: ReadonlyArray<Pick<Caller, 'send'>>;
	readonly durationMs: number;
	readonly random: SeededRandom;
	readonly onFinished: (finished: FinishedRequest) => void;
};

/** Largest number of requests in flight; requests that fall due beyond it are not sent. */
const maxInFlight = 4000;

/** Sends an open-loop load for a period and waits until every request has an outcome. */
export async function runLoad(options: LoadOptions): Promise<void> {
	const inFlight = new Set<Promise<void>>();
	const endMs = performance.now() + options.durationMs;
	let sentCount = 0;
	const runStream = async (stream: Stream) => {
		let nextMs = performance.now();
		while (nextMs < endMs) {
			nextMs += (-Math.log(1 - options.random.next()) * 1000) / stream.perSecond;
			const waitMs = nextMs - performance.now();
			if (waitMs > 1) {
				await delay(waitMs);
			}

			if (inFlight.size < maxInFlight) {
				const callers = stream.callers ?? options.callers;
				const caller = callers[sentCount++ % callers.length]!;
				const sending = sendOne(caller, stream, options.onFinished);
				inFlight.add(sending);
				void sending.finally(() => inFlight.delete(sending));
			}
		}
	};

	await Promise.all(options.streams.map(async stream => runStream(stream)));
	await Promise.all(inFlight);
}

async function sendOne(caller: Pick<Caller, 'send'>, stream: Stream, onFinished: (finished: FinishedRequest) => void): Promise<void> {
	const id = randomUUID();
	const body = `${stream.marker ?? ''}${id}`;
	const startMs = performance.now();
	const outcome = await caller.send({
		service: stream.service,
		className: stream.className,
		path: `/${stream.className}`,
		body: Buffer.from(body),
		deadlineMs: stream.deadlineMs,
		isRepeatable: stream.isRepeatable,
	});
	const isOwnResponse = outcome.kind === 'whole' && (JSON.parse(Buffer.from(outcome.body).toString()) as {echo: string}).echo === body;
	onFinished({
		stream, body, outcome, latencyMs: performance.now() - startMs, isOwnResponse,
	});
}
