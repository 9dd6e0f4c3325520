import {createServer} from 'node:http';
import {describe, expect, it} from 'vitest';
import {collectBody} from '../../stand-ins/collect-body.js';
import {nextLoopbackAddress} from '../../test/next-loopback-address.js';
import {Tracer} from './tracer.js';

type Exported = {resourceSpans: Array<{scopeSpans: Array<{spans: Array<{name: string; traceId: string; parentSpanId?: string; spanId: string}>}>}>};

const parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

describe('Tracer', () => {
	it('passes the trace context through unchanged without a collector', async () => {
		const tracer = new Tracer({otlp: undefined, attributes: {}});
		const span = tracer.start('gateway', parent, {});
		expect(span.traceparent).toBe(parent);
		span.end('whole');
		await tracer.close();
	});

	it('exports one span per hop, each the child of the hop before it', async () => {
		const host = nextLoopbackAddress();
		const bodies: string[] = [];
		const collector = createServer(async (req, res) => {
			bodies.push(await collectBody(req));
			res.writeHead(200, {'content-type': 'application/json'}).end('{}');
		});
		await new Promise<void>(resolve => {
			collector.listen(7000, host, resolve);
		});
		const tracer = new Tracer({otlp: `http://${host}:7000/v1/traces`, attributes: {}});
		const gateway = tracer.start('gateway', parent, {});
		const dispatcher = tracer.start('dispatcher', gateway.traceparent, {});
		const upstream = tracer.start('upstream', dispatcher.traceparent, {});
		for (const span of [upstream, dispatcher, gateway]) {
			span.end('whole');
		}

		await tracer.close();
		collector.closeAllConnections();
		collector.close();
		const spans = bodies.flatMap(body => (JSON.parse(body) as Exported).resourceSpans.flatMap(resource => resource.scopeSpans.flatMap(scope => scope.spans)));
		const byName = new Map(spans.map(span => [span.name, span]));
		expect([...byName.keys()].toSorted()).toEqual(['cowslipspar.dispatcher', 'cowslipspar.gateway', 'cowslipspar.upstream']);
		expect(new Set(spans.map(span => span.traceId))).toEqual(new Set(['0af7651916cd43dd8448eb211c80319c']));
		expect(byName.get('cowslipspar.gateway')?.parentSpanId).toBe('b7ad6b7169203331');
		expect(byName.get('cowslipspar.dispatcher')?.parentSpanId).toBe(byName.get('cowslipspar.gateway')?.spanId);
		expect(byName.get('cowslipspar.upstream')?.parentSpanId).toBe(byName.get('cowslipspar.dispatcher')?.spanId);
	});
});
