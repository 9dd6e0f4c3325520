import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

type Target = {readonly host: string; readonly port: number};

const connectTimeoutMs = 5000;
const settleMs = 2000;
const maxSettleMs = 20_000;

/** Clients that send what they like and read no response. */
export class Crowd {
	readonly #target: Target;
	readonly #sockets: Socket[] = [];

	constructor(target: Target) {
		this.#target = target;
	}

	/** Opens connections; those that the host does not accept are left out. */
	async open(connections: number): Promise<void> {
		await Promise.all(Array.from({length: connections}, async () => {
			const socket = connect({...this.#target, noDelay: true});
			socket.pause();
			socket.on('error', () => undefined);
			await Promise.race([new Promise(resolve => {
				socket.once('connect', resolve).once('close', resolve);
			}), delay(connectTimeoutMs)]);
			this.#sockets.push(socket);
		}));
	}

	/** Sends parts on each connection, as fast as the host reads them; returns when the host reads no more. */
	async send(partsOf: (connection: number) => Iterable<string | Uint8Array>, pauseMs = 0): Promise<void> {
		let isOver = false;
		const sending = Promise.all(this.#sockets.map(async (socket, index) => {
			for (const part of partsOf(index)) {
				if (isOver || socket.destroyed) {
					return;
				}

				if (!socket.write(part)) {
					await new Promise(resolve => {
						socket.once('drain', resolve).once('close', resolve);
					});
				}

				if (pauseMs > 0) {
					await delay(pauseMs);
				}
			}
		}));
		await Promise.race([sending, this.#untilSettled()]);
		isOver = true;
	}

	close(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Resolves when the host has read nothing for a while. */
	async #untilSettled(): Promise<void> {
		const endMs = performance.now() + maxSettleMs;
		let sentBytes = -1;
		while (performance.now() < endMs) {
			const now = this.#sockets.reduce((sum, {bytesWritten, writableLength}) => sum + bytesWritten - writableLength, 0);
			if (now === sentBytes) {
				return;
			}

			sentBytes = now;
			await delay(settleMs);
		}
	}
}
