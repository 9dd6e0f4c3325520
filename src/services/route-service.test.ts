import {describe, expect, it} from 'vitest';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {Metrics} from './metrics.js';
import {RouteService} from './route-service.js';
import {Tracer} from './tracer.js';

type ForwardResult = {kind: 'lost' | 'not_sent'; detail: string} | {kind: 'outcome'; outcome: Outcome};

const owner = {
	id: 'a', boot: '1', region: 'dsm', zone: 'dsm-a', callers: '127.0.0.1:1', peers: '127.0.0.1:2',
};

/** Creates a route service whose owner is another host; each attempt to forward consumes one of the given results. */
function makeRoute(results: ForwardResult[]): RouteService {
	const members = {
		onChange() {/* The view does not change. */},
		ownerOf: () => owner,
		isSelf: () => false,
		recordRefusedConnection() {/* Not checked. */},
		membership: {statusOf: () => 'alive'},
	};
	const peerClient = {forward: async () => results.shift() ?? {kind: 'not_sent', detail: 'gone'}};
	return new RouteService({
		clock: monotonicClock, members, dispatch: {}, peerClient, metrics: new Metrics(), tracer: new Tracer({otlp: undefined, attributes: {}}),
	} as unknown as ConstructorParameters<typeof RouteService>[0]);
}

async function run(results: ForwardResult[], isRepeatable: boolean): Promise<Outcome> {
	return makeRoute(results).route({
		head: {
			requestId: 'r', service: 's', className: 'c', method: 'POST', path: '/', remainingMs: 2000, headers: {}, region: 'dsm', caller: '', fingerprint: '',
		},
		body: new Uint8Array(),
		deadlineMs: performance.now() + 2000,
		isRepeatable,
		signal: new AbortController().signal,
	});
}

const refused: ForwardResult = {
	kind: 'outcome', outcome: {
		kind: 'not-run', reason: 'deadline_unreachable', detail: '', retryAfterMs: 10,
	},
};
const whole: ForwardResult = {
	kind: 'outcome', outcome: {
		kind: 'whole', status: 200, headers: {}, body: new Uint8Array(), isReplay: false,
	},
};
const lost: ForwardResult = {kind: 'lost', detail: 'connection lost'};
const notSent: ForwardResult = {kind: 'not_sent', detail: 'refused'};

describe('RouteService', () => {
	it.each([
		{
			name: 'a refusal', results: [refused], isRepeatable: true, kind: 'not-run',
		},
		{
			name: 'a lost attempt, then a refusal', results: [lost, refused], isRepeatable: true, kind: 'unknown',
		},
		{
			name: 'a lost attempt, then an unreachable owner', results: [lost], isRepeatable: true, kind: 'unknown',
		},
		{
			name: 'a lost attempt, then a response', results: [lost, whole], isRepeatable: true, kind: 'whole',
		},
		{
			name: 'an unreachable owner, then a response', results: [notSent, whole], isRepeatable: false, kind: 'whole',
		},
		{
			name: 'a lost attempt of a request that is not repeatable', results: [lost, whole], isRepeatable: false, kind: 'unknown',
		},
	])('returns outcome $kind after $name', async ({results, isRepeatable, kind}) => {
		const outcome = await run([...results], isRepeatable);
		expect(outcome.kind).toBe(kind);
	});
});
