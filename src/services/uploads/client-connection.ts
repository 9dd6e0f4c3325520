import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {RequestCutter} from '../../decisions/request-cutter.js';

type ConnectionOptions = {
	readonly socket: Socket;
	/** Returns whether another part may be passed to the HTTP parser now. */
	readonly mayRead: (conn: ClientConnection) => boolean;
	/** Called when the number of bytes changes that are held for the client and are no part of a request yet. */
	readonly onHeld: (conn: ClientConnection, bytes: number) => void;
	/** Called when a part has to wait; `readOn` continues. */
	readonly onWaiting: (conn: ClientConnection) => void;
	/** Called when bytes were received. */
	readonly onActive: (conn: ClientConnection) => void;
};

type WriteCallback = Parameters<Duplex['_write']>[2];
type Chunk = {readonly chunk: Uint8Array | string; readonly encoding: BufferEncoding};

const noBytes: Uint8Array = Buffer.alloc(0);
/** Bytes that are read ahead while the parser is given nothing, so that the end of a connection behind them is still seen. */
const maxReadAheadBytes = 16_384;
/** Bytes that the socket and the system receive for a connection while nobody reads it: one read, and the usual size of the system's buffer. */
const systemReceiveBytes = 65_536;

/** Connection of a client that passes its bytes to the HTTP parser request by request. The parser itself reads all requests that arrive together. */
export class ClientConnection extends Duplex {
	/** Bytes held for the connection, as the budget counts them. */
	heldBytes = 0;
	lastActiveMs = 0;
	/** Requests without a complete response, oldest first. */
	readonly unanswered = new Set<IncomingMessage>();
	readonly cutter = new RequestCutter();
	/** Whether the parser was given a request head of which it told nothing: it refuses some requests by itself. */
	hasUntoldHead = false;
	/** Body of the latest request that comes in chunks. */
	chunkedBody: IncomingMessage | undefined;
	readonly #options: ConnectionOptions;
	readonly #socket: Socket;
	#rest: Uint8Array = noBytes;
	#isWanted = false;
	#hasEnded = false;

	constructor(options: ConnectionOptions) {
		// With a limit of 0, a part is given to the parser before the next one is cut.
		super({readableHighWaterMark: 0, decodeStrings: false, allowHalfOpen: true});
		this.#options = options;
		const {socket} = options;
		this.#socket = socket;
		socket.on('readable', () => {
			options.onActive(this);
			this.#receive();
			this.readOn();
		}).on('end', () => {
			// What was received before and not read counts as not read: the client left before its responses.
			this.#hasEnded = true;
			this.#keep(noBytes);
			this.push(null);
		}).on('error', err => {
			this.destroy(err);
		}).on('close', () => {
			this.destroy();
		}).on('timeout', () => {
			this.emit('timeout');
		});
	}

	/** Whether the parser waits for bytes of the client. */
	get isReading(): boolean {
		return this.#isWanted;
	}

	get bytesWritten(): number {
		return this.#socket.bytesWritten;
	}

	get remoteAddress(): string | undefined {
		return this.#socket.remoteAddress;
	}

	setTimeout(ms: number, callback?: () => void): this {
		this.#socket.setTimeout(ms);
		if (callback !== undefined) {
			this.once('timeout', callback);
		}

		return this;
	}

	/** Closes the connection after what was written has been sent. */
	destroySoon(): void {
		if (this.writable) {
			this.end();
		}

		if (this.writableFinished) {
			this.destroy();
		} else {
			this.once('finish', () => {
				this.destroy();
			});
		}
	}

	/** Passes on what may be read now. */
	readOn(): void {
		while (this.#isWanted && !this.#hasEnded && !this.destroyed) {
			if (this.#rest.length === 0) {
				this.#receive();
			}

			if (this.#rest.length === 0) {
				return;
			}

			if (!this.#options.mayRead(this)) {
				this.#options.onWaiting(this);
				return;
			}

			const length = this.cutter.cut(this.#rest);
			const part = this.#rest.subarray(0, length);
			this.#keep(length === this.#rest.length ? noBytes : this.#rest.subarray(length));
			this.hasUntoldHead = this.cutter.hasEndedHead;
			this.#isWanted = false;
			this.push(part);
		}
	}

	override _read(): void {
		this.#isWanted = true;
		this.readOn();
	}

	override _write(chunk: Uint8Array | string, encoding: BufferEncoding, callback: WriteCallback): void {
		this.#writeTo(chunk, encoding, callback);
	}

	override _writev(chunks: readonly Chunk[], callback: WriteCallback): void {
		this.#socket.cork();
		for (const [index, {chunk, encoding}] of chunks.entries()) {
			this.#writeTo(chunk, encoding, index === chunks.length - 1 ? callback : undefined);
		}

		this.#socket.uncork();
	}

	override _final(callback: WriteCallback): void {
		this.#socket.end(callback);
	}

	override _destroy(...[err, callback]: Parameters<Duplex['_destroy']>): void {
		this.#keep(noBytes);
		this.#socket.destroy();
		callback(err);
	}

	#writeTo(chunk: Uint8Array | string, encoding: BufferEncoding, callback: WriteCallback | undefined): void {
		if (typeof chunk === 'string') {
			this.#socket.write(chunk, encoding, callback);
		} else {
			this.#socket.write(chunk, callback);
		}
	}

	#receive(): void {
		if (this.#rest.length >= maxReadAheadBytes) {
			return;
		}

		const received = (this.#socket.read() ?? undefined) as Uint8Array | undefined;
		if (received !== undefined) {
			this.#keep(this.#rest.length === 0 ? received : Buffer.concat([this.#rest, received]));
		}
	}

	#keep(rest: Uint8Array): void {
		const change = memoryOf(rest) - memoryOf(this.#rest);
		this.#rest = rest;
		if (change !== 0) {
			this.#options.onHeld(this, change);
		}
	}
}

/** Returns the bytes that unread ones keep in memory: the whole buffer that they are part of, and what the system may have received behind them. */
function memoryOf(rest: Uint8Array): number {
	if (rest.length === 0) {
		return 0;
	}

	return rest.buffer.byteLength + (rest.length >= maxReadAheadBytes ? systemReceiveBytes : 0);
}
