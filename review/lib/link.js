import {connect, createServer} from 'node:net';

/** Forwards the connections of one machine to one address, and can be cut in silence. */
export class Link {
	#server;
	#target;
	#pairs = new Set();
	#isCut = false;
	#onData;

	/** `onData` gets each chunk that the machine sends, as text. */
	constructor(target, onData = () => undefined) {
		this.#target = target;
		this.#onData = onData;
		this.#server = createServer(inner => {
			this.#accept(inner);
		});
	}

	/** Starts listening on a free port; returns the address. */
	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	/** Holds back all bytes, in both directions and on new connections too. */
	cut() {
		this.#isCut = true;
		for (const {inner, outer} of this.#pairs) {
			inner.pause();
			outer.pause();
		}
	}

	/** Lets all bytes pass again. */
	heal() {
		this.#isCut = false;
		for (const {inner, outer} of this.#pairs) {
			inner.resume();
			outer.resume();
		}
	}

	close() {
		for (const {inner, outer} of this.#pairs) {
			inner.destroy();
			outer.destroy();
		}

		this.#server.close();
	}

	#accept(inner) {
		const [host, port] = this.#target.split(':');
		const outer = connect({host, port: Number(port)});
		const pair = {inner, outer};
		this.#pairs.add(pair);
		for (const [from, to] of [[inner, outer], [outer, inner]]) {
			from.on('error', () => undefined);
			from.on('close', () => {
				this.#pairs.delete(pair);
				to.destroy();
			});
		}

		inner.on('data', chunk => {
			this.#onData(chunk.toString('latin1'));
			outer.write(chunk);
		});
		outer.on('data', chunk => {
			inner.write(chunk);
		});
		if (this.#isCut) {
			inner.pause();
			outer.pause();
		}
	}
}
