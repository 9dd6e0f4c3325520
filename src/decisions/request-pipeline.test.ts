import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RequestPipeline} from './request-pipeline.js';

type Exchange = NonNullable<ReturnType<RequestPipeline['add']>>;

describe('request pipeline', () => {
	it('never leaves out a started request, nor starts one behind a request that is left out, for any order of events', () => {
		const event = fc.oneof(
			fc.record({kind: fc.constant('add' as const), maxAhead: fc.constantFrom(0, 1, 3)}),
			fc.record({kind: fc.constant('end' as const)}),
			fc.record({kind: fc.constant('stop' as const)}),
		);
		fc.assert(fc.property(fc.array(event, {maxLength: 30}), events => {
			const pipeline = new RequestPipeline();
			const added: Exchange[] = [];
			const ended = new Set<Exchange>();
			let isAnyLeftOut = false;
			for (const item of events) {
				const leftOut = added.filter(exchange => !ended.has(exchange) && pipeline.isLeftOut(exchange));
				expect(leftOut.filter(exchange => exchange.isStarted)).toEqual([]);
				switch (item.kind) {
					case 'add': {
						const exchange = pipeline.add();
						isAnyLeftOut ||= exchange === undefined || leftOut.length > 0;
						expect(exchange !== undefined && isAnyLeftOut).toBe(false);
						if (exchange !== undefined) {
							added.push(exchange);
							void pipeline.turn(exchange, item.maxAhead);
						}

						break;
					}

					case 'end': {
						const first = added.find(exchange => !ended.has(exchange) && !pipeline.isLeftOut(exchange));
						if (first?.isStarted === true) {
							ended.add(first);
							pipeline.end(first);
						}

						break;
					}

					case 'stop': {
						pipeline.stop();
						break;
					}
				}

				const open = added.filter(exchange => !ended.has(exchange) && !pipeline.isLeftOut(exchange));
				const started = open.filter(exchange => exchange.isStarted);
				expect(open.slice(0, started.length)).toEqual(started);
			}
		}));
	});

	it('lets the connection close with the last started response only', async () => {
		const pipeline = new RequestPipeline();
		const [first, second] = [pipeline.add()!, pipeline.add()!];
		expect(await Promise.all([pipeline.turn(first, 3), pipeline.turn(second, 3)])).toEqual([true, true]);
		const waiting = pipeline.add()!;
		const turn = pipeline.turn(waiting, 0);
		pipeline.stop();
		expect(await turn).toBe(false);
		expect([pipeline.isLast(first), pipeline.isLast(second)]).toEqual([false, true]);
		pipeline.end(first);
		pipeline.end(second);
		expect(pipeline.isAbandoned).toBe(true);
		expect(pipeline.add()).toBeUndefined();
	});
});
