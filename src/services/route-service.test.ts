import {describe, expect, it} from 'vitest';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {Metrics} from './metrics.js';
import {RouteService} from './route-service.js';
import {Tracer} from './tracer.js';

type Forwarded = {kind: 'lost' | 'not_sent'; detail: string} | {kind: 'outcome'; outcome: Outcome};

const owner = {
	id: 'a', boot: '1', region: 'dsm', zone: 'dsm-a', callers: '127.0.0.1:1', peers: '127.0.0.1:2',
};

/** A route whose owner is another host that answers as told, one answer a try. */
function makeRoute(answers: Forwarded[]): RouteService {
	const members = {
		onChange() {/* The view does not change. */},
		ownerOf: () => owner,
		isSelf: () => false,
		reportRefused() {/* Not looked at. */},
		membership: {statusOf: () => 'alive'},
	};
	const peerClient = {forward: async () => answers.shift() ?? {kind: 'not_sent', detail: 'gone'}};
	return new RouteService({
		clock: monotonicClock, members, dispatch: {}, peerClient, metrics: new Metrics(), tracer: new Tracer({otlp: undefined, attributes: {}}),
	} as unknown as ConstructorParameters<typeof RouteService>[0]);
}

async function run(answers: Forwarded[], isRepeatable: boolean): Promise<Outcome> {
	return makeRoute(answers).route({
		work: {
			requestId: 'r', service: 's', className: 'c', method: 'POST', path: '/', remainingMs: 2000, headers: {}, region: 'dsm', caller: '', fingerprint: '',
		},
		body: new Uint8Array(),
		deadlineMs: performance.now() + 2000,
		isRepeatable,
		signal: new AbortController().signal,
	});
}

const refused: Forwarded = {
	kind: 'outcome', outcome: {
		kind: 'not-run', reason: 'deadline_unreachable', detail: '', retryAfterMs: 10,
	},
};
const whole: Forwarded = {
	kind: 'outcome', outcome: {
		kind: 'whole', status: 200, headers: {}, body: new Uint8Array(), isReplay: false,
	},
};
const lost: Forwarded = {kind: 'lost', detail: 'connection lost'};
const notSent: Forwarded = {kind: 'not_sent', detail: 'refused'};

describe('the way to the owner', () => {
	it.each([
		{
			name: 'a refusal', answers: [refused], isRepeatable: true, kind: 'not-run',
		},
		{
			name: 'a lost try, then a refusal', answers: [lost, refused], isRepeatable: true, kind: 'unknown',
		},
		{
			name: 'a lost try, then nobody to reach', answers: [lost], isRepeatable: true, kind: 'unknown',
		},
		{
			name: 'a lost try, then an answer', answers: [lost, whole], isRepeatable: true, kind: 'whole',
		},
		{
			name: 'nobody reached, then an answer', answers: [notSent, whole], isRepeatable: false, kind: 'whole',
		},
		{
			name: 'a lost try of work that may not be repeated', answers: [lost, whole], isRepeatable: false, kind: 'unknown',
		},
	])('tells $kind after $name', async ({answers, isRepeatable, kind}) => {
		const outcome = await run([...answers], isRepeatable);
		expect(outcome.kind).toBe(kind);
	});
});
