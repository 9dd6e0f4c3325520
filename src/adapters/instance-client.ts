import {Buffer} from 'node:buffer';
import {BrokenOffError} from '../contracts/broken-off-error.js';
import {type Clock} from '../contracts/clock.js';
import {type HttpDialect} from '../contracts/http-dialect.js';
import {type InstanceCall} from '../contracts/instance-call.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {AbortScope} from './abort-scope.js';
import {type ConnectionPool} from './connection-pool.js';
import {describeFailure} from './describe-failure.js';
import {endToEndHeaders} from './end-to-end-headers.js';
import {PoolSet} from './pool-set.js';
import {rawHeader} from './raw-header.js';
import {responseFraming} from './response-framing.js';
import {statusFault} from './status-fault.js';
import {withProgress} from './with-progress.js';

type InstanceClientOptions = {
	readonly clock: Clock;
	readonly dialect: HttpDialect;
	/** Limit of connections to one instance. */
	readonly maxConnections: number;
	/** Limit of connections to all instances together; unlimited by default. */
	readonly maxTotalConnections?: number;
	/** Size up to which a response body is buffered; a longer body is streamed. */
	readonly maxBufferedResponseBytes: number;
};

type Connection = NonNullable<ReturnType<ConnectionPool['acquire']>>;
type Head = {readonly status: number; readonly headers: readonly string[]; readonly info: ReturnType<HttpDialect['readResponse']>};
type OpenResponse = {
	readonly source: AsyncIterator<Uint8Array, unknown>;
	readonly pool: ConnectionPool;
	readonly conn: Connection;
	readonly scope: AbortScope;
};
/** Lower-case names of the client's headers that no instance receives; `withLength` for a buffered body, whose length the HTTP client sets itself. */
type DroppedNames = {readonly always: ReadonlySet<string>; readonly withLength: ReadonlySet<string>};
type StreamedResponse = OpenResponse & {readonly framing: ReturnType<typeof framingOf>};
type RefusedResponse = OpenResponse & {readonly head: Head};

/** Idle time after which a connection is not reused; this also removes connections that failed without being closed. */
const idleLimitMs = 4000;
/**
 * Idle time after which a connection is not reused for the first attempt of a repeatable request. With 0.2 requests a second to an instance,
 * gaps longer than this are 5% of all.
 */
const longIdleLimitMs = 15_000;
/** Timeout for opening a connection; a round trip between regions takes about 110 ms. */
const connectTimeoutMs = 300;
/** One week; the timeout of each exchange is set by its caller. */
const exchangeLimitMs = 604_800_000;
/** Number of informational responses (1xx) to one request after which the connection is closed. */
const maxInformationalResponses = 32;
/** Size of a refusal's body up to which its connection is reused. */
const maxRefusalBytes = 16_384;
/** Request headers that are handled separately on each connection. */
const perConnectionNames = ['expect'];

/** Client of instances over HTTP/1.1. A response other than a refusal is valid only if it is signed, contains the request's id and is complete. */
export class InstanceClient {
	readonly #options: InstanceClientOptions;
	readonly #pools: PoolSet;
	readonly #droppedNames: DroppedNames;
	/** Names for requests whose identity headers are left out. */
	readonly #droppedNamesWithIdentity: DroppedNames;

	constructor(options: InstanceClientOptions) {
		this.#options = options;
		const {replacedHeaders, identityHeaders} = options.dialect;
		this.#droppedNames = toDroppedNames([...perConnectionNames, ...replacedHeaders]);
		this.#droppedNamesWithIdentity = toDroppedNames([...perConnectionNames, ...replacedHeaders, ...identityHeaders]);
		this.#pools = new PoolSet({
			clock: options.clock,
			idleLimitMs,
			longIdleLimitMs,
			connectTimeoutMs,
			exchangeLimitMs,
			maxConnections: options.maxConnections,
			maxTotalConnections: options.maxTotalConnections ?? Number.POSITIVE_INFINITY,
		});
	}

	/** Number of open connections to all instances. */
	get connections(): number {
		return this.#pools.size;
	}

	/** Sends one request; returns when it has ended, or when a response that is too long to be buffered has begun. */
	async send(call: InstanceCall): Promise<InstanceResult> {
		const pool = this.#pools.get(call.address);
		let isOutdated = false;
		const conn = pool.acquire(call.allowsLongIdle, () => {
			isOutdated = call.isCurrent?.() === false;
			return !isOutdated;
		});
		if (conn === undefined) {
			return {kind: 'not_sent', detail: 'the limit of connections is reached'};
		}

		const startMs = this.#options.clock.nowMs();
		const scope = new AbortScope(call.remainingMs, call.disconnect);
		let isScopeHandedOver = false;
		let informationalCount = 0;
		let invalidStatus: string | undefined;
		try {
			const res = await conn.client.request({
				method: call.method,
				path: call.target,
				headers: [...endToEndHeaders(call.headers, this.#droppedNamesOf(call)), ...this.#options.dialect.requestHeaders(call)],
				body: call.body as Uint8Array | undefined,
				signal: scope.signal,
				responseHeaders: 'raw',
				onInfo({statusCode}) {
					informationalCount++;
					// The HTTP client takes every status below 200 for an informational one.
					invalidStatus ??= statusFault(statusCode);
					if (invalidStatus !== undefined || informationalCount > maxInformationalResponses) {
						pool.discard(conn);
					}
				},
			});
			const head = this.#readHead(res.statusCode, res.headers as unknown as string[]);
			call.onHead(head.info);
			const fault = findFault(call, head, conn.lastReceivedMs === undefined);
			if (fault !== undefined) {
				res.body.on('error', ignoreError).destroy();
				pool.discard(conn);
				return {kind: 'broken', detail: fault};
			}

			const source = withProgress(res.body, conn.markProgress);
			if (isRefusal(head)) {
				isScopeHandedOver = true;
				void this.#drainRefusal({
					source, pool, conn, scope, head,
				});
				return {kind: 'not_run', ...head};
			}

			const start = await readStart(source, this.#options.maxBufferedResponseBytes, call.tryHold);
			const framing = framingOf(head.headers);
			if (!start.isEnded) {
				isScopeHandedOver = true;
				const rest = this.#readRest({
					source, pool, conn, scope, framing,
				});
				return {
					kind: 'partial', ...head, framing, start: start.bytes, rest,
				};
			}

			if (conn.hasFailed && framing === 'connection') {
				pool.discard(conn);
				return {kind: 'lost', detail: 'the connection failed before the response was complete'};
			}

			this.#releaseOrDiscard(pool, conn, head);
			return {
				kind: 'whole', ...head, framing, body: start.bytes,
			};
		} catch (err) {
			pool.discard(conn);
			if (isOutdated) {
				return {kind: 'outdated'};
			}

			if (scope.isOverdue) {
				pool.closeIdleSince(startMs);
				if (conn.wasLongIdle) {
					// The failure that silenced this connection may have silenced those to other instances, too.
					pool.suspendLongIdle();
					this.#pools.closeLongIdle();
				}

				return {kind: 'overdue'};
			}

			if (scope.isCancelled) {
				return {kind: 'cancelled'};
			}

			if (invalidStatus !== undefined) {
				return {kind: 'broken', detail: invalidStatus};
			}

			if (conn.wasLongIdle) {
				pool.suspendLongIdle();
			}

			return informationalCount > maxInformationalResponses
				? {kind: 'broken', detail: `more than ${maxInformationalResponses} informational responses`}
				: describeFailure(err);
		} finally {
			if (!isScopeHandedOver) {
				scope.close();
			}
		}
	}

	/** Closes the connections that have been idle for too long. */
	sweep(): void {
		this.#pools.sweep();
	}

	/** Closes all connections. */
	close(): void {
		this.#pools.close();
	}

	#droppedNamesOf({body, hidesIdentity}: InstanceCall): ReadonlySet<string> {
		const names = hidesIdentity ? this.#droppedNamesWithIdentity : this.#droppedNames;
		return body instanceof Uint8Array ? names.withLength : names.always;
	}

	#readHead(status: number, raw: readonly string[]): Head {
		const byName = new Map<string, string>();
		for (let index = 0; index < raw.length; index += 2) {
			byName.set(raw[index]!.toLowerCase(), raw[index + 1]!);
		}

		return {status, headers: raw, info: this.#options.dialect.readResponse(status, byName)};
	}

	#releaseOrDiscard(pool: ConnectionPool, conn: Connection, head: Head): void {
		const isClosing = head.headers.some((text, index) => index % 2 === 0 && text.toLowerCase() === 'connection' && head.headers[index + 1]!.toLowerCase().includes('close'));
		if (isClosing || conn.hasFailed) {
			pool.discard(conn);
		} else {
			pool.release(conn);
		}
	}

	/** Reads the body of a refusal, which its head has already stated, so that the connection can be reused. */
	async #drainRefusal({source, pool, conn, scope, head}: RefusedResponse): Promise<void> {
		try {
			const {isEnded} = await readStart(source, maxRefusalBytes);
			if (isEnded) {
				this.#releaseOrDiscard(pool, conn, head);
			} else {
				pool.discard(conn);
			}
		} catch {
			// The rest of a refusal tells nothing; only its connection is lost.
			pool.discard(conn);
		} finally {
			scope.close();
		}
	}

	/** Yields the rest of a streamed response, or throws a `BrokenOffError`; its connection is not reused. */
	async * #readRest({source, pool, conn, scope, framing}: StreamedResponse): AsyncIterable<Uint8Array> {
		try {
			for (let next = await source.next(); next.done !== true; next = await source.next()) {
				yield next.value;
			}
		} catch (err) {
			throw new BrokenOffError(reasonOf(scope), describeFailure(err).detail);
		} finally {
			scope.close();
			pool.discard(conn);
		}

		if (conn.hasFailed && framing === 'connection') {
			throw new BrokenOffError('lost', 'the connection failed before the response was complete');
		}
	}
}

function toDroppedNames(names: readonly string[]): DroppedNames {
	return {always: new Set(names), withLength: new Set([...names, 'content-length'])};
}

function reasonOf(scope: AbortScope): BrokenOffError['reason'] {
	if (scope.isOverdue) {
		return 'overdue';
	}

	return scope.isCancelled ? 'cancelled' : 'lost';
}

function framingOf(headers: readonly string[]): ReturnType<typeof responseFraming> {
	return responseFraming({transferEncoding: rawHeader(headers, 'transfer-encoding'), contentLength: rawHeader(headers, 'content-length')});
}

function isRefusal({info}: Head): boolean {
	return info.isNotRun || info.isMisdirected;
}

/**
 * Returns why a response must not be forwarded, or `undefined` for a valid one. A refusal without an id is valid only on a new
 * connection: on a reused one it may be an earlier refusal that the instance wrote once more.
 */
function findFault(call: InstanceCall, head: Head, isNewConnection: boolean): string | undefined {
	const {info, status, headers} = head;
	const invalidStatus = statusFault(status);
	if (invalidStatus !== undefined) {
		return invalidStatus;
	}

	const isAnonymousRefusal = isRefusal(head) && info.requestId === undefined;
	if (info.requestId !== call.requestId && !(isAnonymousRefusal && isNewConnection)) {
		return 'the response does not contain the id of this request';
	}

	if (isRefusal(head)) {
		return undefined;
	}

	if (!info.isSigned) {
		return `the response with status ${status} is not signed`;
	}

	if (!['chunked', undefined].includes(rawHeader(headers, 'transfer-encoding')?.toLowerCase())) {
		return 'the response has a transfer coding that was not requested';
	}

	return rawHeader(headers, 'content-encoding') === undefined ? undefined : 'the response has a content encoding that was not requested';
}

/** Reads until the end, or until more than `limit` bytes are buffered or there is no room for more. */
async function readStart(source: AsyncIterator<Uint8Array, unknown>, limit: number, tryHold: InstanceCall['tryHold'] = () => true): Promise<{readonly bytes: Uint8Array; readonly isEnded: boolean}> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for (let hasRoom = true; hasRoom && size <= limit;) {
		const next = await source.next();
		if (next.done === true) {
			return {bytes: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks), isEnded: true};
		}

		chunks.push(next.value);
		size += next.value.byteLength;
		hasRoom = tryHold(next.value.byteLength);
	}

	return {bytes: Buffer.concat(chunks), isEnded: false};
}

function ignoreError(): void {
	// The body of an invalid response is destroyed on purpose.
}
