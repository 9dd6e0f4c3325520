import {type Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {type Hono} from 'hono';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {listenAt} from './listen-at.js';

type HttpServiceOptions = {
	/** IPv4 number and port. */
	readonly address: string;
	/** Time in which a whole request has to arrive, in milliseconds. */
	readonly receiveTimeoutMs: number;
};

/** Bytes of the headers of one request. */
const maxHeaderBytes = 16_384;
/** Time for which an idle connection is kept, in milliseconds. */
const keepAliveMs = 75_000;

/** Serves a Hono application at an address until the life cycle closes; requests in flight are answered first. */
export async function serveHttp(app: Hono, options: HttpServiceOptions, lifecycle: Lifecycle): Promise<void> {
	const server = createAdaptorServer({
		fetch: app.fetch,
		serverOptions: {
			maxHeaderSize: maxHeaderBytes, requestTimeout: options.receiveTimeoutMs, headersTimeout: options.receiveTimeoutMs, keepAliveTimeout: keepAliveMs,
		},
	}) as Server;
	await listenAt(server, options.address);
	lifecycle.own(`http ${options.address}`, async () => {
		const closed = new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
		server.closeIdleConnections();
		const timer = setTimeout(() => {
			server.closeAllConnections();
		}, 1000);
		await closed;
		clearTimeout(timer);
	});
}
