import {describe, expect, it} from 'vitest';
import {requestHistory} from './request-history.js';

const line = (timestamp: string, host: string, message: string, fields: Record<string, unknown> = {}) =>
	`  12.5 ${host} ${JSON.stringify({
		timestamp, host, message, request: 'r1', ...fields,
	})}`;
const refused = [
	line('2026-01-01T00:00:02Z', 'edge-1', 'request ended without an answer of an instance', {outcome: 'not_run', reason: 'retry_budget', tookMs: 7}),
	line('2026-01-01T00:00:01Z', 'edge-1', 'a send brought no answer', {instance: 'i1', result: 'not_run'}),
];

describe('request history', () => {
	it('orders the lines of all hosts by time and describes how the request ended', () => {
		const {lines, ending} = requestHistory(refused.join('\n'), 'r1');
		expect(lines.map(entry => entry.message)).toEqual(['a send brought no answer', 'request ended without an answer of an instance']);
		expect(ending).toBe('not_run at edge-1 after 7 ms: an instance refused it and the host had used up its share of the retry budget');
	});

	it('excludes lines of other requests, lines that are not JSON, and lines that only mention the id', () => {
		const {lines} = requestHistory([
			line('2026-01-01T00:00:01Z', 'edge-1', 'a send brought no answer').replaceAll('r1', 'r10'),
			'the operator looked for r1',
			'{"r1": broken',
			line('2026-01-01T00:00:01Z', 'edge-1', 'host r1 seen', {request: 'r2'}),
		].join('\n'), 'r1');
		expect(lines).toEqual([]);
	});

	it('describes the latest ending if the client sent the request again with the same id', () => {
		const answered = line('2026-01-01T00:00:03Z', 'edge-2', 'request answered late', {status: 200, tookMs: 900, instance: 'i-1'});
		expect(requestHistory([answered, ...refused].join('\n'), 'r1').ending).toBe('request answered late with status 200 of i-1 by edge-2 after 900 ms');
	});

	it('tells a missing key, a lack of common regions, a used-up quota and a lack of capacity apart, with the figures of each', () => {
		const message = 'request ended without an answer of an instance';
		const endingOf = (reason: string, figures: Record<string, unknown>) => requestHistory(line('2026-01-01T00:00:01Z', 'edge-1', message, {reason, figures}), 'r1').ending;
		expect(endingOf('unauthorized', {cause: 'missing_key', configuration: 7})).toMatch(/its route is not public .* \(cause missing_key, configuration 7\)$/);
		expect(endingOf('no_common_region', {routeRegions: 'dsm', accountRegions: 'aru'})).toMatch(/its route and its account \(routeRegions dsm, accountRegions aru\)$/);
		expect(endingOf('over_quota', {ratePerSecond: 5, slots: 8, tokens: 0.25})).toMatch(/used up its quota .*status 429.* \(ratePerSecond 5, slots 8, tokens 0\.25\)$/);
		expect(endingOf('busy', {excessWaitMs: 80})).toMatch(/deadline would have passed .* \(excessWaitMs 80\)$/);
	});

	it('describes a response that was broken off, though its start counts as an answer', () => {
		const {ending} = requestHistory([
			line('2026-01-01T00:00:01Z', 'edge-1', 'request answered late', {status: 200, tookMs: 900, instance: 'i-1'}),
			line('2026-01-01T00:00:02Z', 'edge-1', 'a response that an instance began was not delivered whole', {instance: 'i-1', reason: 'overdue'}),
		].join('\n'), 'r1');
		expect(ending).toBe('the response of i-1 was not delivered whole by edge-1: its deadline expired');
	});

	describe('of a client that the host protected itself from', () => {
		const closed = line('2026-01-01T00:00:01Z', 'edge-1', 'the connection of a client was closed to protect this host', {
			reason: 'memory', heldBytes: 900, allHeldBytes: 1000, connections: 7,
		});
		const cancelled = line('2026-01-01T00:00:02Z', 'edge-1', 'request ended without an answer of an instance', {outcome: 'unknown', reason: 'cancelled', tookMs: 9});

		it('tells that the host closed the connection and why, not that the client did', () => {
			expect(requestHistory([closed, cancelled].join('\n'), 'r1').ending)
				.toBe('edge-1 closed the connection of the client: the host held too much for its clients, and most for this one (900 of 1000 bytes held, 7 connections); it may have run');
		});

		it('tells of the later answer if the client sent the request again', () => {
			const answered = line('2026-01-01T00:00:03Z', 'edge-2', 'request answered late', {status: 200, tookMs: 900, instance: 'i-1'});
			expect(requestHistory([closed, cancelled, answered].join('\n'), 'r1').ending).toBe('request answered late with status 200 of i-1 by edge-2 after 900 ms');
		});
	});
});
