import {Buffer} from 'node:buffer';
import {type Clock} from '../contracts/clock.js';
import {type HttpDialect} from '../contracts/http-dialect.js';
import {type InstanceCall} from '../contracts/instance-call.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {AbortScope} from './abort-scope.js';
import {type ConnectionPool} from './connection-pool.js';
import {describeFailure} from './describe-failure.js';
import {hopHeaders} from './hop-headers.js';
import {PoolSet} from './pool-set.js';
import {rawHeader} from './raw-header.js';

type InstanceClientOptions = {
	readonly clock: Clock;
	readonly dialect: HttpDialect;
	/** Connections to one instance. */
	readonly maxConnections: number;
	/** Bytes of an answer that are held before the first of them is passed on. */
	readonly maxHeldBytes: number;
};

type Connection = NonNullable<ReturnType<ConnectionPool['acquire']>>;
type LongAnswer = {
	readonly source: AsyncIterator<Uint8Array, unknown>;
	readonly pool: ConnectionPool;
	readonly conn: Connection;
	readonly scope: AbortScope;
	readonly framing: ReturnType<typeof framingOf>;
};
type Head = {readonly status: number; readonly headers: readonly string[]; readonly info: ReturnType<HttpDialect['readAnswer']>};

/** Silence after which a connection is not used again, in milliseconds; one that went silent for good is found by this. */
const idleLimitMs = 4000;
/** Time for opening a connection, in milliseconds; a round trip between regions takes some 110. */
const connectTimeoutMs = 300;
const exchangeLimitMs = 604_800_000;
/** Request headers that are answered or set on each connection anew. */
const droppedNames = ['expect'];

/** Requests to instances over HTTP/1.1: only a whole answer of the instance to this very request counts as one. */
export class InstanceClient {
	readonly #options: InstanceClientOptions;
	readonly #pools: PoolSet;
	readonly #dropped: ReadonlySet<string>;
	/** The length of a body that is held is stated by the connection itself. */
	readonly #droppedWithLength: ReadonlySet<string>;

	constructor(options: InstanceClientOptions) {
		this.#options = options;
		this.#dropped = new Set([...droppedNames, ...options.dialect.replacedHeaders]);
		this.#droppedWithLength = new Set([...this.#dropped, 'content-length']);
		this.#pools = new PoolSet({
			clock: options.clock, idleLimitMs, connectTimeoutMs, exchangeLimitMs, maxConnections: options.maxConnections,
		});
	}

	/** Connections open to all instances. */
	get connections(): number {
		return this.#pools.size;
	}

	/** Sends one request; answers when it has ended, or when a long answer has begun. */
	async send(call: InstanceCall): Promise<InstanceResult> {
		const pool = this.#pools.get(call.address);
		const conn = pool.acquire();
		if (conn === undefined) {
			return {kind: 'not_sent', detail: 'the connection budget is spent'};
		}

		const startMs = this.#options.clock.nowMs();
		const scope = new AbortScope(call.remainingMs, call.departure);
		let isHandedOn = false;
		try {
			const res = await conn.client.request({
				method: call.method,
				path: call.target,
				headers: [...hopHeaders(call.headers, call.body instanceof Uint8Array ? this.#droppedWithLength : this.#dropped), ...this.#options.dialect.requestHeaders(call)],
				body: call.body as Uint8Array | undefined,
				signal: scope.signal,
				responseHeaders: 'raw',
			});
			const head = this.#readHead(res.statusCode, res.headers as unknown as string[]);
			const fault = findFault(call, head);
			if (fault !== undefined) {
				res.body.on('error', ignoreAbort).destroy();
				pool.discard(conn);
				return {kind: 'broken', detail: fault};
			}

			const source = res.body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array, unknown>;
			const start = await readStart(source, this.#options.maxHeldBytes);
			const framing = framingOf(head.headers);
			if (!start.isEnded) {
				isHandedOn = true;
				const rest = this.#readRest({
					source, pool, conn, scope, framing,
				});
				return {
					kind: 'partial', ...head, framing, start: start.bytes, rest,
				};
			}

			if (conn.isBroken && framing === 'connection') {
				pool.discard(conn);
				return {kind: 'lost', detail: 'the connection broke before the answer had ended'};
			}

			this.#giveBack(pool, conn, head);
			return head.info.isNotRun || head.info.isMisdirected
				? {kind: 'not_run', ...head}
				: {
					kind: 'whole', ...head, framing, body: start.bytes,
				};
		} catch (err) {
			pool.discard(conn);
			if (scope.isOverdue) {
				pool.condemn(startMs);
				return {kind: 'overdue'};
			}

			return scope.isCancelled ? {kind: 'cancelled'} : describeFailure(err);
		} finally {
			if (!isHandedOn) {
				scope.close();
			}
		}
	}

	/** Closes idle connections. */
	sweep(): void {
		this.#pools.sweep();
	}

	/** Closes all connections. */
	close(): void {
		this.#pools.close();
	}

	#readHead(status: number, raw: readonly string[]): Head {
		const byName = new Map<string, string>();
		for (let index = 0; index < raw.length; index += 2) {
			byName.set(raw[index]!.toLowerCase(), raw[index + 1]!);
		}

		return {status, headers: raw, info: this.#options.dialect.readAnswer(status, byName)};
	}

	#giveBack(pool: ConnectionPool, conn: Connection, head: Head): void {
		const isClosing = head.headers.some((text, index) => index % 2 === 0 && text.toLowerCase() === 'connection' && head.headers[index + 1]!.toLowerCase().includes('close'));
		if (isClosing || conn.isBroken) {
			pool.discard(conn);
		} else {
			pool.release(conn);
		}
	}

	/** The rest of a long answer; its connection is not used again. */
	async * #readRest({source, pool, conn, scope, framing}: LongAnswer): AsyncIterable<Uint8Array> {
		try {
			for (let next = await source.next(); next.done !== true; next = await source.next()) {
				yield next.value;
			}

			if (conn.isBroken && framing === 'connection') {
				throw new Error('the connection broke before the answer had ended');
			}
		} finally {
			scope.close();
			pool.discard(conn);
		}
	}
}

function framingOf(headers: readonly string[]): 'length' | 'chunks' | 'connection' {
	if (rawHeader(headers, 'transfer-encoding') !== undefined) {
		return 'chunks';
	}

	return rawHeader(headers, 'content-length') === undefined ? 'connection' : 'length';
}

/** What makes an answer unfit to be passed on; `undefined` for a sound one. */
function findFault(call: InstanceCall, head: Head): string | undefined {
	const {info, status, headers} = head;
	const isRefusal = info.isNotRun || info.isMisdirected;
	if (info.requestId !== call.requestId && !(isRefusal && info.requestId === undefined)) {
		return 'the answer names another request';
	}

	if (isRefusal) {
		return undefined;
	}

	if (!info.isSigned) {
		return `the answer with status ${status} is not signed`;
	}

	return rawHeader(headers, 'content-encoding') === undefined ? undefined : 'the answer is encoded though nobody asked for it';
}

/** Reads until the end, or until more than `limit` bytes are held. */
async function readStart(source: AsyncIterator<Uint8Array, unknown>, limit: number): Promise<{readonly bytes: Uint8Array; readonly isEnded: boolean}> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	while (size <= limit) {
		const next = await source.next();
		if (next.done === true) {
			return {bytes: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks), isEnded: true};
		}

		chunks.push(next.value);
		size += next.value.byteLength;
	}

	return {bytes: Buffer.concat(chunks), isEnded: false};
}

function ignoreAbort(): void {
	// The body of an answer that is not passed on is dropped on purpose.
}
