import {
	createConnection, createServer, type Server, type Socket,
} from 'node:net';

const partBytes = 8192;
const bytesPerMsAtOneMbps = 125;

/** Forwards TCP connections to one address. It can withhold all bytes in silence, as a partition does, and limit the bandwidth of what the server sends. */
export class LinkStandIn {
	readonly #target: {readonly host: string; readonly port: number};
	readonly #sockets = new Set<Socket>();
	readonly #server: Server;
	#isCut = false;
	#bytesPerMs = Number.POSITIVE_INFINITY;

	constructor(target: string) {
		const [host, port] = target.split(':');
		this.#target = {host: host!, port: Number(port)};
		this.#server = createServer(socket => {
			this.#forward(socket);
		});
	}

	async listen(host: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				resolve();
			});
		});
	}

	/** Limits the bandwidth of each connection for what the server sends, in megabits per second. */
	setBandwidth(mbps: number): void {
		this.#bytesPerMs = mbps * bytesPerMsAtOneMbps;
	}

	/** Withholds all bytes, on open and on new connections. */
	cut(): void {
		this.#isCut = true;
		for (const socket of this.#sockets) {
			socket.pause();
		}
	}

	/** Passes bytes on again, those withheld included. */
	mend(): void {
		this.#isCut = false;
		for (const socket of this.#sockets) {
			socket.resume();
		}
	}

	async close(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await closed;
	}

	#forward(inner: Socket): void {
		const outer = createConnection(this.#target);
		for (const [from, to] of [[inner, outer], [outer, inner]] as const) {
			this.#sockets.add(from);
			from.on('error', () => undefined);
			from.on('close', () => {
				this.#sockets.delete(from);
				to.destroy();
			});
			from.on('data', data => {
				if (from === outer && this.#bytesPerMs < Number.POSITIVE_INFINITY) {
					this.#pass(data, from, to);
				} else {
					to.write(data);
				}
			});
			if (this.#isCut) {
				from.pause();
			}
		}
	}

	/** Passes data on in parts at the link's bandwidth, and reads no more meanwhile. */
	#pass(data: Uint8Array, from: Socket, to: Socket): void {
		from.pause();
		let sentBytes = 0;
		const sendPart = (): void => {
			to.write(data.subarray(sentBytes, sentBytes + partBytes));
			sentBytes += partBytes;
			if (sentBytes < data.length) {
				setTimeout(sendPart, partBytes / this.#bytesPerMs);
			} else if (!this.#isCut) {
				from.resume();
			}
		};

		setTimeout(sendPart, Math.min(data.length, partBytes) / this.#bytesPerMs);
	}
}
