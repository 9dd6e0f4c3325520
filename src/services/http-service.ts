import {type Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {type Hono} from 'hono';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {listenAt} from './listen-at.js';

type HttpServiceOptions = {
	/** IPv4 address and port. */
	readonly address: string;
	/** Timeout for receiving a whole request. */
	readonly receiveTimeoutMs: number;
};

/** Limit of the header bytes of one request. */
const maxHeaderBytes = 16_384;
/** Time for which an idle connection is kept open. */
const keepAliveTimeoutMs = 75_000;

/** Serves a Hono application until the lifecycle closes; requests in flight then have a short time to end before their connections are closed. */
export async function serveHttp(app: Hono, options: HttpServiceOptions, lifecycle: Lifecycle): Promise<void> {
	const server = createAdaptorServer({
		fetch: app.fetch,
		serverOptions: {
			maxHeaderSize: maxHeaderBytes, requestTimeout: options.receiveTimeoutMs, headersTimeout: options.receiveTimeoutMs, keepAliveTimeout: keepAliveTimeoutMs,
		},
	}) as Server;
	await listenAt(server, options.address);
	lifecycle.addCleanup(`http ${options.address}`, async () => {
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
