import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type ProxyRequest} from './proxy-request.js';
import {type RequestMemory} from './uploads/request-memory.js';

type BodyOptions = {
	/** Size up to which a body is returned as one buffer. */
	readonly maxBufferedBytes: number;
	readonly maxBodyBytes: number;
	readonly memory: Pick<RequestMemory, 'hold' | 'recordBodyRead'>;
};

/** Size of the buffer of a body whose length is not known yet; it doubles when it is full. */
const initialBufferBytes = 2048;

/**
 * Reads the body of a request: as one buffer up to `maxBufferedBytes`, otherwise as a stream of the whole body, which throws beyond
 * `maxBodyBytes`.
 */
export async function readRequestBody(req: IncomingMessage, {maxBufferedBytes, maxBodyBytes, memory}: BodyOptions): ReturnType<ProxyRequest['readBody']> {
	const length = req.headers['content-length'];
	if (length === undefined && req.headers['transfer-encoding'] === undefined) {
		return {kind: 'none'};
	}

	if (Number(length ?? 0) > maxBodyBytes) {
		return {kind: 'too_large'};
	}

	const source = req[Symbol.asyncIterator]() as AsyncIterator<Uint8Array, unknown>;
	// Pieces are copied, since a small one keeps all in memory that was received with it.
	let bytes = Buffer.alloc(0);
	let size = 0;
	try {
		while (size <= maxBufferedBytes) {
			const next = await source.next();
			if (next.done === true) {
				return {kind: 'whole', bytes: bytes.subarray(0, size)};
			}

			memory.recordBodyRead();
			const needed = size + next.value.byteLength;
			if (needed > bytes.length) {
				const isWhole = needed === Number(length);
				const grown = Buffer.allocUnsafe(isWhole ? needed : Math.max(initialBufferBytes, needed, Math.min(bytes.length * 2, maxBufferedBytes)));
				bytes.copy(grown, 0, 0, size);
				memory.hold(grown.length - bytes.length);
				bytes = grown;
			}

			bytes.set(next.value, size);
			size = needed;
		}
	} catch {
		return {kind: 'broken'};
	}

	return {kind: 'stream', source: streamBody(bytes.subarray(0, size), source, {maxBodyBytes, memory})};
}

async function * streamBody(start: Uint8Array, source: AsyncIterator<Uint8Array, unknown>, {maxBodyBytes, memory}: Omit<BodyOptions, 'maxBufferedBytes'>): AsyncIterable<Uint8Array> {
	let size = start.byteLength;
	yield start;
	for (let next = await source.next(); next.done !== true; next = await source.next()) {
		memory.recordBodyRead();
		size += next.value.byteLength;
		if (size > maxBodyBytes) {
			throw new Error(`request body exceeds the limit of ${maxBodyBytes} bytes`);
		}

		yield next.value;
	}
}
