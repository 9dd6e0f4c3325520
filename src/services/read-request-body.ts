import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {pause} from './pause.js';
import {type ProxyRequest} from './proxy-request.js';
import {type RequestMemory} from './uploads/request-memory.js';

type BodyOptions = {
	/** Size up to which a body is returned as one buffer. */
	readonly maxBufferedBytes: number;
	readonly maxBodyBytes: number;
	readonly memory: Pick<RequestMemory, 'hold' | 'tryHold' | 'recordBodyRead'>;
	/** Returns whether a body that is longer than `maxBufferedBytes` and begins with `start` is held whole nevertheless, if there is room for it. */
	readonly shouldHold: (start: Uint8Array) => boolean;
	/** Longest time for which such a body is held before it is passed on, in milliseconds. */
	readonly holdMs: number;
};

type StreamOptions = Pick<BodyOptions, 'maxBodyBytes' | 'memory' | 'holdMs'>;
type BodySource = AsyncIterator<Uint8Array, unknown>;
/** Parts of a body that were read, and the one that is being read, if any. */
type Held = {readonly kind: 'no_room'; readonly parts: readonly Uint8Array[]; readonly pending?: ReturnType<BodySource['next']>};

/** Size of the buffer of a body whose length is not known yet; it doubles when it is full. */
const initialBufferBytes = 2048;
/** Interval of the checks whether there is still room for a body that is being held. */
const roomCheckMs = 50;

/**
 * Reads the body of a request: as one buffer up to `maxBufferedBytes` or if it should be held and there is room, otherwise as a stream of the
 * whole body, which throws beyond `maxBodyBytes`.
 */
export async function readRequestBody(req: IncomingMessage, {
	maxBufferedBytes, maxBodyBytes, memory, shouldHold, holdMs,
}: BodyOptions): ReturnType<ProxyRequest['readBody']> {
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

	const start = bytes.subarray(0, size);
	const options = {maxBodyBytes, memory, holdMs};
	const held = shouldHold(start) ? await holdBody(start, source, options) : {kind: 'no_room' as const, parts: []};
	return held.kind === 'no_room' ? {kind: 'stream', source: streamBody(start, held, source, options)} : held;
}

/** Reads on to the end of a body while there is room for it; returns the further parts, as copies, if there is no more. */
async function holdBody(start: Uint8Array, source: BodySource, {maxBodyBytes, memory, holdMs}: StreamOptions): Promise<Held | Exclude<Awaited<ReturnType<ProxyRequest['readBody']>>, {kind: 'stream'}>> {
	const parts: Uint8Array[] = [];
	let size = start.byteLength;
	const end = new AbortController();
	const timer = setTimeout(() => {
		end.abort();
	}, holdMs);
	try {
		for (;;) {
			const pending = source.next();
			const next = await nextWhileRoom(pending, memory, end.signal);
			if (next === undefined) {
				// The failure is met again where the body is passed on.
				pending.catch(() => undefined);
				return {kind: 'no_room', parts, pending};
			}

			if (next.done === true) {
				return {kind: 'whole', bytes: Buffer.concat([start, ...parts])};
			}

			memory.recordBodyRead();
			size += next.value.byteLength;
			if (size > maxBodyBytes) {
				return {kind: 'too_large'};
			}

			parts.push(Buffer.from(next.value));
			memory.hold(next.value.byteLength);
		}
	} catch {
		return {kind: 'broken'};
	} finally {
		clearTimeout(timer);
	}
}

/** Returns the next part of a body, or `undefined` if there is no room for more, or no more time: the rest is not received before some of it is passed on. */
async function nextWhileRoom(pending: ReturnType<BodySource['next']>, memory: Pick<RequestMemory, 'tryHold'>, end: AbortSignal): Promise<IteratorResult<Uint8Array, unknown> | undefined> {
	while (memory.tryHold(0) && !end.aborted) {
		const check = new AbortController();
		const next = await Promise.race([pending, pause(roomCheckMs, check.signal)]);
		check.abort();
		if (next !== undefined) {
			return next;
		}
	}

	return undefined;
}

async function * streamBody(start: Uint8Array, {parts, pending}: Held, source: BodySource, {maxBodyBytes, memory}: StreamOptions): AsyncIterable<Uint8Array> {
	let size = start.byteLength;
	yield start;
	for (const part of parts) {
		size += part.byteLength;
		yield part;
		memory.hold(-part.byteLength);
	}

	for (let next = await (pending ?? source.next()); next.done !== true; next = await source.next()) {
		memory.recordBodyRead();
		size += next.value.byteLength;
		if (size > maxBodyBytes) {
			throw new Error(`request body exceeds the limit of ${maxBodyBytes} bytes`);
		}

		yield next.value;
	}
}
