import {Buffer} from 'node:buffer';
import {Outcome} from '../contracts/outcome.js';

type ForwardResponse = {readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: Uint8Array};
type DecodedOutcome = {readonly kind: 'outcome'; readonly outcome: Outcome} | {readonly kind: 'lost'; readonly detail: string};

/**
 * Decodes the outcome of a forwarded request from the response: a header holds the frame, the body holds the upstream's
 * response body.
 */
export function decodeForwardedOutcome(response: ForwardResponse): DecodedOutcome {
	const frame = response.headers['cowslipspar-frame'];
	if (frame === undefined) {
		return {kind: 'lost', detail: `the daemon responded with status ${response.status} and no outcome frame`};
	}

	try {
		const raw = JSON.parse(decodeURIComponent(frame)) as Record<string, unknown>;
		const parsed = Outcome.safeParse({...raw, body: Buffer.from(response.body)});
		return parsed.success ? {kind: 'outcome', outcome: parsed.data} : {kind: 'lost', detail: 'the outcome frame has an unexpected shape'};
	} catch {
		return {kind: 'lost', detail: 'the outcome frame cannot be parsed'};
	}
}
