import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type Caller} from '../src/caller.js';
import {type Outcome} from '../src/contracts/outcome.js';
import {type SeededRandom} from '../src/decisions/seeded-random.js';

/** One class of work in a load. */
type Stream = {
	readonly service: string;
	readonly className: string;
	readonly isRepeatable: boolean;
	readonly deadlineMs: number;
	/** Requests a second, with exponential gaps. */
	readonly perSecond: number;
	/** Bodies begin with this text. */
	readonly marker?: string;
	/** Senders of this stream, in place of the load's. */
	readonly callers?: ReadonlyArray<Pick<Caller, 'send'>>;
};

type Finished = {
	readonly stream: Stream;
	/** The request's body, which is unlike any other's. */
	readonly body: string;
	readonly outcome: Outcome;
	readonly latencyMs: number;
	/** Whether a whole answer carries this request's own body. */
	readonly isOwn: boolean;
};

type LoadOptions = {
	readonly streams: readonly Stream[];
	/** Senders; each request takes the next. */
	readonly callers: ReadonlyArray<Pick<Caller, 'send'>>;
	readonly durationMs: number;
	readonly random: SeededRandom;
	readonly onFinished: (finished: Finished) => void;
};

/** Requests that may be under way at once. */
const maxUnderWay = 4000;

/** Sends an open load for a time and waits for every answer. */
export async function runLoad(options: LoadOptions): Promise<void> {
	const underWay = new Set<Promise<void>>();
	const endMs = performance.now() + options.durationMs;
	let turn = 0;
	const runStream = async (stream: Stream) => {
		let nextMs = performance.now();
		while (nextMs < endMs) {
			nextMs += (-Math.log(1 - options.random.next()) * 1000) / stream.perSecond;
			const waitMs = nextMs - performance.now();
			if (waitMs > 1) {
				await delay(waitMs);
			}

			if (underWay.size < maxUnderWay) {
				const callers = stream.callers ?? options.callers;
				const caller = callers[turn++ % callers.length]!;
				const sending = sendOne(caller, stream, options.onFinished);
				underWay.add(sending);
				void sending.finally(() => underWay.delete(sending));
			}
		}
	};

	await Promise.all(options.streams.map(async stream => runStream(stream)));
	await Promise.all(underWay);
}

async function sendOne(caller: Pick<Caller, 'send'>, stream: Stream, onFinished: (finished: Finished) => void): Promise<void> {
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
	const isOwn = outcome.kind === 'whole' && (JSON.parse(Buffer.from(outcome.body).toString()) as {echo: string}).echo === body;
	onFinished({
		stream, body, outcome, latencyMs: performance.now() - startMs, isOwn,
	});
}
