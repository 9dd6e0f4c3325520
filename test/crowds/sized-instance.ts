import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {HttpStandIn} from '../../stand-ins/http-stand-in.js';

/** Instance that answers with a body of the size in the target, as in `/read/size-1000`, and counts the bytes of request bodies without keeping them. */
export class SizedInstance {
	/** Number of times that each request ran, by request id. */
	readonly runsById = new Map<string, number>();
	/** Bytes of the bodies received, by request id. */
	readonly bodyBytesById = new Map<string, number>();
	readonly #http = new HttpStandIn((req, res) => {
		this.#handle(req, res);
	});

	async listen(host: string, port: number): Promise<number> {
		return this.#http.listen(host, port);
	}

	async close(): Promise<void> {
		await this.#http.close();
	}

	#handle(req: IncomingMessage, res: ServerResponse): void {
		const requestId = String(req.headers['x-request-id']);
		this.runsById.set(requestId, (this.runsById.get(requestId) ?? 0) + 1);
		const size = Number(/size-(\d+)/.exec(req.url!)?.[1] ?? 2);
		let bodyBytes = 0;
		req.on('data', (chunk: Uint8Array) => {
			bodyBytes += chunk.byteLength;
		}).on('error', () => undefined).on('end', () => {
			this.bodyBytesById.set(requestId, bodyBytes);
			res.writeHead(200, {'X-Request-Id': requestId, 'X-Response-Signature': 's', 'X-Server-Load': '1,0,64'}).end(Buffer.alloc(size, 'x'));
		});
	}
}
