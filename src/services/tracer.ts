import {
	context, defaultTextMapGetter, propagation, SpanKind, SpanStatusCode, trace, type Tracer as OtelTracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {BasicTracerProvider, BatchSpanProcessor} from '@opentelemetry/sdk-trace-base';

type Span = {
	/** Trace context for the next hop. */
	readonly traceparent: string | undefined;
	readonly end: (outcome: string) => void;
};

type Hop = 'caller' | 'gateway' | 'dispatcher' | 'upstream';

type TracerOptions = {
	/** URL of an OTLP/HTTP collector; tracing is off without one. */
	readonly otlp: string | undefined;
	readonly attributes: Readonly<Record<string, string>>;
};

const propagator = new W3CTraceContextPropagator();
const spanKinds = {
	caller: SpanKind.CLIENT, gateway: SpanKind.SERVER, dispatcher: SpanKind.INTERNAL, upstream: SpanKind.CLIENT,
} as const;

/**
 * Records one span per hop and propagates W3C trace context. Without a collector, the trace context is passed through
 * unchanged.
 */
export class Tracer {
	readonly #provider: BasicTracerProvider | undefined;
	readonly #tracer: OtelTracer | undefined;

	constructor(options: TracerOptions) {
		if (options.otlp === undefined) {
			return;
		}

		this.#provider = new BasicTracerProvider({
			resource: resourceFromAttributes({'service.name': 'cowslipspard', ...options.attributes}),
			spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({url: options.otlp}))],
		});
		this.#tracer = this.#provider.getTracer('cowslipspar');
	}

	/** Starts a span for a hop, as a child of the span in `traceparent` if there is one. */
	start(hop: Hop, traceparent: string | undefined, attributes: Readonly<Record<string, string>>): Span {
		if (this.#tracer === undefined) {
			return {traceparent, end() {/* Tracing is off. */}};
		}

		const carrier = traceparent === undefined ? {} : {traceparent};
		const parent = propagator.extract(context.active(), carrier, defaultTextMapGetter);
		const span = this.#tracer.startSpan(`cowslipspar.${hop}`, {kind: spanKinds[hop], attributes}, parent);
		const out: Record<string, string> = {};
		propagator.inject(trace.setSpan(parent, span), out, {
			set(to: Record<string, string>, key, value) {
				to[key] = value;
			},
		});
		return {
			traceparent: out.traceparent,
			end(outcome) {
				span.setAttribute('cowslipspar.outcome', outcome);
				span.setStatus({code: outcome === 'whole' ? SpanStatusCode.OK : SpanStatusCode.ERROR});
				span.end();
			},
		};
	}

	/** Exports the remaining spans and stops. */
	async close(): Promise<void> {
		await this.#provider?.shutdown();
		propagation.disable();
	}
}
