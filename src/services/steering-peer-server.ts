import {type HttpBindings} from '@hono/node-server';
import {fetchRequestHandler} from '@trpc/server/adapters/fetch';
import {Hono} from 'hono';
import {type SteeringRouter} from './steering-router.js';

/** Creates the HTTP application for control calls between daemons that serve published routes. */
export function steeringPeerServer(router: SteeringRouter): Hono {
	const app = new Hono<{Bindings: HttpBindings}>();
	app.all('/trpc/*', async ctx => fetchRequestHandler({
		endpoint: '/trpc',
		req: ctx.req.raw,
		router,
		createContext: () => ({
			onResponseEnd(listener: () => void) {
				ctx.env.outgoing.once('close', listener);
			},
		}),
	}));
	return app as unknown as Hono;
}
