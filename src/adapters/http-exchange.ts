import {createHash} from 'node:crypto';
import {TransferProgress} from '../decisions/transfer-progress.js';
import {AbortScope} from './abort-scope.js';
import {type ConnectionPool} from './connection-pool.js';
import {describeFailure} from './describe-failure.js';
import {readBody} from './read-body.js';
import {responseFraming} from './response-framing.js';
import {statusFault} from './status-fault.js';
import {withProgress} from './with-progress.js';

type Exchange = {
	readonly pool: ConnectionPool;
	readonly method: string;
	readonly path: string;
	readonly headers: Record<string, string>;
	readonly body: Uint8Array | undefined;
	/** Timeout of the whole exchange, or until the response's head if `bodyProgress` is given. */
	readonly timeoutMs: number;
	/** Progress that the response's body must make, whose length then does not matter; `onProgress` is called whenever it did. */
	readonly bodyProgress?: ConstructorParameters<typeof TransferProgress>[0] & {readonly onProgress?: (() => void) | undefined};
	readonly maxAnswerBytes: number;
	readonly signal: AbortSignal | undefined;
	/** Time at which the exchange starts, in monotonic milliseconds. */
	readonly startMs: number;
	/** Request id that the response must contain, if the server's protocol requires it. */
	readonly requestId?: string;
};

/**
 * Result of an exchange. `not_sent` proves that the server received nothing;
 * after any other failure the server may have run the request.
 */
type ExchangeResult =
	| {readonly kind: 'answered'; readonly status: number; readonly headers: Record<string, string>; readonly body: Uint8Array}
	| {readonly kind: 'not_sent'; readonly detail: string}
	| {readonly kind: 'too_large'}
	/** The response belongs to another request or does not match its digest. */
	| {readonly kind: 'broken'; readonly detail: string}
	/** `receivedBytes` is the part of the body that was received; `undefined` if the head was not. */
	| {readonly kind: 'overdue'; readonly receivedBytes: number | undefined}
	| {readonly kind: 'cancelled'}
	| {readonly kind: 'lost'; readonly detail: string};

/** Runs one HTTP exchange on a pooled connection, which is reused only after a complete response. */
export async function httpExchange(exchange: Exchange): Promise<ExchangeResult> {
	if (exchange.signal?.aborted === true) {
		return {kind: 'not_sent', detail: 'the request was cancelled before it was sent'};
	}

	const conn = exchange.pool.acquire();
	if (conn === undefined) {
		return {kind: 'not_sent', detail: 'the limit of connections is reached'};
	}

	const scope = new AbortScope(exchange.timeoutMs, exchange.signal, {readsFirst: true});
	let invalidStatus: string | undefined;
	let receivedBytes: number | undefined;
	try {
		const res = await conn.client.request({
			method: exchange.method,
			path: exchange.path,
			headers: exchange.headers,
			body: exchange.body,
			signal: scope.signal,
			onInfo({statusCode}) {
				// The HTTP client takes every status below 200 for an informational one.
				invalidStatus ??= statusFault(statusCode);
			},
		});
		const progress = exchange.bodyProgress === undefined ? undefined : new TransferProgress(exchange.bodyProgress);
		const body = await readBody(withProgress(res.body, bytes => {
			conn.markProgress();
			const isHead = receivedBytes === undefined;
			receivedBytes = (receivedBytes ?? 0) + bytes;
			if (progress !== undefined && (isHead || progress.record(bytes))) {
				scope.restart(exchange.bodyProgress!.windowMs);
				exchange.bodyProgress!.onProgress?.();
			}
		}), exchange.maxAnswerBytes);
		if (!body.success) {
			exchange.pool.discard(conn);
			return {kind: 'too_large'};
		}

		const headers = flattenHeaders(res.headers);
		const framing = responseFraming({transferEncoding: headers['transfer-encoding'], contentLength: headers['content-length']});
		if (conn.hasFailed && framing === 'connection') {
			exchange.pool.discard(conn);
			return {kind: 'lost', detail: 'the connection failed before the response was complete'};
		}

		const fault = statusFault(res.statusCode) ?? findFault(exchange.requestId, headers, body.data);
		if (fault !== undefined) {
			exchange.pool.discard(conn);
			return {kind: 'broken', detail: fault};
		}

		if (headers.connection === 'close' || conn.hasFailed) {
			exchange.pool.discard(conn);
		} else {
			exchange.pool.release(conn);
		}

		return {
			kind: 'answered', status: res.statusCode, headers, body: body.data,
		};
	} catch (err) {
		exchange.pool.discard(conn);
		if (scope.isOverdue) {
			exchange.pool.closeIdleSince(exchange.startMs);
			return {kind: 'overdue', receivedBytes};
		}

		if (scope.isCancelled) {
			return {kind: 'cancelled'};
		}

		return invalidStatus === undefined ? describeFailure(err) : {kind: 'broken', detail: invalidStatus};
	} finally {
		scope.close();
	}
}

/** Checks that a response contains the request's id and matches its own digest (RFC 9530); returns the fault, if any. */
function findFault(requestId: string | undefined, headers: Readonly<Record<string, string>>, body: Uint8Array): string | undefined {
	if (requestId !== undefined && headers['x-request-id'] !== requestId) {
		return 'the response does not contain the id of this request';
	}

	const expectedDigest = /sha-256=:([^:]*):/.exec(headers['content-digest'] ?? '')?.[1];
	if (expectedDigest !== undefined && expectedDigest !== createHash('sha256').update(body).digest('base64')) {
		return 'the response body does not match its digest';
	}

	return undefined;
}

function flattenHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string> {
	const flat: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined) {
			flat[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return flat;
}
