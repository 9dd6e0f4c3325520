import {Buffer} from 'node:buffer';
import {Outcome} from '../contracts/outcome.js';

type Answered = {readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: Uint8Array};
type Decoded = {readonly kind: 'outcome'; readonly outcome: Outcome} | {readonly kind: 'lost'; readonly detail: string};

/** Reads the outcome of a forwarded request: its frame is in a header, the body of a whole answer is the body. */
export function decodeAnswer(answer: Answered): Decoded {
	const frame = answer.headers['cowslipspar-frame'];
	if (frame === undefined) {
		return {kind: 'lost', detail: `the daemon answered ${answer.status} without an outcome`};
	}

	try {
		const raw = JSON.parse(decodeURIComponent(frame)) as Record<string, unknown>;
		const parsed = Outcome.safeParse({...raw, body: Buffer.from(answer.body)});
		return parsed.success ? {kind: 'outcome', outcome: parsed.data} : {kind: 'lost', detail: 'the outcome has an unexpected shape'};
	} catch {
		return {kind: 'lost', detail: 'the outcome cannot be read'};
	}
}
