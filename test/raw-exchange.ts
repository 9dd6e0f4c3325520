import {connect, type Socket} from 'node:net';

type ReceivedResponse = {
	readonly status: number | undefined;
	readonly body: string;
	/** Whether a client takes the body for complete, by the framing that the response states (RFC 9112, section 6.3). */
	readonly looksComplete: boolean;
};

/** A request on a connection of its own. */
export class RawExchange {
	/** Resolves when the connection has closed. */
	readonly ended: Promise<ReceivedResponse>;
	readonly #socket: Socket;
	#received = '';

	/** Sends the bytes of a request. */
	constructor(host: string, port: number, request: string) {
		let hasEnded = false;
		this.#socket = connect(port, host, () => {
			this.#socket.write(request);
		});
		this.#socket.setEncoding('latin1').on('data', (text: string) => {
			this.#received += text;
		}).on('end', () => {
			hasEnded = true;
		}).on('error', () => undefined);
		this.ended = new Promise(resolve => {
			this.#socket.on('close', hadError => {
				resolve(readResponse(this.#received, hasEnded && !hadError));
			});
		});
	}

	/** Number of bytes received until now. */
	get receivedBytes(): number {
		return this.#received.length;
	}

	/** Stops reading, until `resume` is called. */
	pause(): void {
		this.#socket.pause();
	}

	resume(): void {
		this.#socket.resume();
	}
}

function readResponse(received: string, isCleanEnd: boolean): ReceivedResponse {
	const headEnd = received.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {status: undefined, body: '', looksComplete: false};
	}

	const head = received.slice(0, headEnd);
	const rest = received.slice(headEnd + 4);
	const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(head)?.[1]);
	if (/\r\ntransfer-encoding: chunked/i.test(head)) {
		return {status, ...decodeChunks(rest)};
	}

	const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
	return {status, body: rest, looksComplete: length === undefined ? isCleanEnd : rest.length === Number(length)};
}

function decodeChunks(text: string): {readonly body: string; readonly looksComplete: boolean} {
	let body = '';
	let position = 0;
	for (;;) {
		const lineEnd = text.indexOf('\r\n', position);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(text.slice(position, lineEnd), 16);
		if (Number.isNaN(size)) {
			return {body, looksComplete: false};
		}

		const start = lineEnd + 2;
		body += text.slice(start, start + size);
		position = start + size + 2;
		if (size === 0) {
			return {body, looksComplete: text.slice(start, position) === '\r\n'};
		}

		if (text.slice(position - 2, position) !== '\r\n') {
			return {body, looksComplete: false};
		}
	}
}
