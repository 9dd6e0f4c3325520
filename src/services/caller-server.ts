import {Buffer} from 'node:buffer';
import {type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context} from 'hono';
import {type Outcome} from '../contracts/outcome.js';
import {disconnectSignal} from './disconnect-signal.js';
import {type GatewayService} from './gateway-service.js';
import {type HomeService} from './home-service.js';
import {type LookupService} from './lookup-service.js';
import {type Metrics} from './metrics.js';
import {outcomeResponse} from './outcome-response.js';
import {receiveBody} from './receive-body.js';

type CallerServerOptions = {
	readonly gateway: GatewayService;
	readonly lookup: LookupService;
	readonly home: HomeService;
	readonly metrics: Metrics;
	readonly maxRequestBytes: number;
};

type CallerContext = Context<{Bindings: HttpBindings}>;

/** Request headers that are forwarded to upstreams. */
const forwardedHeaders = ['accept', 'accept-language', 'content-type', 'content-encoding', 'if-none-match', 'if-match', 'if-modified-since', 'authorization'];
const callPrefix = /^\/v1\/call\/[^/]+/;

/** Builds the callers' HTTP interface, which serves lookups and requests as specified in docs/CALLERS.md. */
export function callerServer(options: CallerServerOptions): Hono {
	const app = new Hono<{Bindings: HttpBindings}>();
	app.get('/v1/lookup/:service', ctx => {
		options.metrics.count('lookups');
		const response = options.lookup.lookup(ctx.req.param('service'), ctx.env.incoming.socket.remoteAddress ?? '');
		if (response === undefined) {
			return respond(refused('unknown_service', `unknown service "${ctx.req.param('service')}"`), ctx.req.path);
		}

		// Written directly to Node's response: the framework's response object costs as much as the lookup itself.
		const body = JSON.stringify(response);
		ctx.env.outgoing.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'cache-control': `max-age=${Math.floor(response.ttlMs / 1000)}`});
		ctx.env.outgoing.end(body);
		return RESPONSE_ALREADY_SENT;
	});
	app.all('/v1/call/:service/*', async ctx => {
		const outcome = await handleCall(ctx, options);
		const res = respond(outcome, ctx.req.path);
		const needsToken = outcome.kind === 'not-run' && (outcome.reason === 'token_sealed' || outcome.reason === 'key_required');
		if (needsToken && options.home.token !== undefined) {
			res.headers.set('cowslipspar-token', options.home.token);
		}

		return res;
	});
	app.notFound(ctx => respond(refused('bad_request', 'unknown path; expected /v1/lookup/SERVICE or /v1/call/SERVICE/PATH'), ctx.req.path));
	return app as unknown as Hono;
}

async function handleCall(ctx: CallerContext, options: CallerServerOptions): Promise<Outcome> {
	const {incoming, outgoing} = ctx.env;
	const signal = disconnectSignal(incoming, outgoing);
	const body = await receiveBody(incoming, options.maxRequestBytes);
	if (!body.success) {
		outgoing.setHeader('connection', 'close');
		return body.error.code === 'too_large'
			? refused('too_large', `the request body exceeds ${options.maxRequestBytes} bytes`)
			: refused('bad_request', 'the request body is incomplete');
	}

	const url = incoming.url ?? '/';
	const path = url.replace(callPrefix, '');
	return options.gateway.handle({
		service: ctx.req.param('service') ?? '',
		className: header(ctx, 'cowslipspar-class'),
		deadlineMs: header(ctx, 'cowslipspar-deadline-ms'),
		key: header(ctx, 'idempotency-key'),
		method: incoming.method ?? 'GET',
		path: path === '' ? '/' : path,
		headers: Object.fromEntries(forwardedHeaders.flatMap(name => {
			const value = header(ctx, name);
			return value === undefined ? [] : [[name, value]];
		})),
		body: body.data,
		traceparent: header(ctx, 'traceparent'),
		caller: incoming.socket.remoteAddress ?? '',
		signal,
	});
}

function header(ctx: CallerContext, name: string): string | undefined {
	const value = ctx.env.incoming.headers[name];
	return Array.isArray(value) ? value.join(', ') : value;
}

function refused(reason: (Outcome & {kind: 'not-run'})['reason'], detail: string): Outcome {
	return {
		kind: 'not-run', reason, detail, retryAfterMs: 0,
	};
}

function respond(outcome: Outcome, path: string): Response {
	const response = outcomeResponse(outcome, path);
	return new Response(response.body as ConstructorParameters<typeof Response>[0], {status: response.status, headers: response.headers});
}
