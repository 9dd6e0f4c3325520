import {type HttpBindings} from '@hono/node-server';
import {fetchRequestHandler} from '@trpc/server/adapters/fetch';
import {Hono, type Context} from 'hono';
import {type Clock} from '../contracts/clock.js';
import {type Outcome} from '../contracts/outcome.js';
import {RequestHead} from '../contracts/request-head.js';
import {disconnectSignal} from './disconnect-signal.js';
import {type DispatchService} from './dispatch-service.js';
import {type HomeService} from './home-service.js';
import {type Job} from './job.js';
import {type PeerRouter} from './peer-router.js';
import {receiveBody} from './receive-body.js';
import {type RouteService} from './route-service.js';

type PeerServerOptions = {
	readonly clock: Clock;
	readonly router: PeerRouter;
	readonly dispatch: DispatchService;
	readonly home: HomeService;
	readonly route: RouteService;
	readonly maxRequestBytes: number;
};

type PeerContext = Context<{Bindings: HttpBindings}>;

/**
 * Builds the HTTP interface between daemons: control calls, and requests forwarded to an owner, a home or a region's
 * entry host.
 */
export function peerServer(options: PeerServerOptions): Hono {
	const app = new Hono<{Bindings: HttpBindings}>();
	app.all('/trpc/*', async ctx => fetchRequestHandler({
		endpoint: '/trpc', req: ctx.req.raw, router: options.router, createContext: () => ({}),
	}));
	app.post('/work/owner', async ctx => handleForwarded(ctx, options, async job => options.dispatch.submit(job)));
	app.post('/work/region', async ctx => handleForwarded(ctx, options, async job => options.route.route(job)));
	app.post('/work/home', async ctx => handleForwarded(ctx, options, async job => options.home.runAsHome(job)));
	return app as unknown as Hono;
}

async function handleForwarded(ctx: PeerContext, options: PeerServerOptions, run: (job: Job) => Promise<Outcome>): Promise<Response> {
	const {incoming, outgoing} = ctx.env;
	const arrivedMs = options.clock.nowMs();
	const signal = disconnectSignal(incoming, outgoing);
	const head = parseHead(incoming.headers['cowslipspar-work']);
	const body = await receiveBody(incoming, options.maxRequestBytes);
	if (head === undefined || !body.success) {
		return new Response(undefined, {status: 400});
	}

	const outcome = await run({
		head, body: body.data, deadlineMs: arrivedMs + head.remainingMs, isRepeatable: head.key === undefined, signal,
	});
	return respond(head, outcome);
}

function parseHead(text: string | string[] | undefined): RequestHead | undefined {
	if (typeof text !== 'string') {
		return undefined;
	}

	try {
		const parsed = RequestHead.safeParse(JSON.parse(decodeURIComponent(text)));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

function respond(head: RequestHead, outcome: Outcome): Response {
	const isWhole = outcome.kind === 'whole';
	const frame = isWhole ? {...outcome, body: undefined} : outcome;
	const headers = {'x-request-id': head.requestId, 'cowslipspar-frame': encodeURIComponent(JSON.stringify(frame))};
	return new Response(isWhole ? outcome.body as ConstructorParameters<typeof Response>[0] : undefined, {status: 200, headers});
}
