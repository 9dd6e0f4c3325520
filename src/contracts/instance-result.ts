import {type HttpDialect} from './http-dialect.js';

/** How the instance marked the end of its answer; with `connection` nobody can tell whether the end came early. */
type Framing = 'length' | 'chunks' | 'connection';

type AnswerHead = {
	readonly status: number;
	/** Header names and values in turn, without those of the connection. */
	readonly headers: readonly string[];
	readonly info: ReturnType<HttpDialect['readAnswer']>;
};

/** How a call of an instance ended. After `lost`, `broken`, `overdue` and `cancelled` the request may have run. */
export type InstanceResult =
	/** The whole answer. */
	| (AnswerHead & {readonly kind: 'whole'; readonly body: Uint8Array; readonly framing: Framing})
	/** The start of a long answer; `rest` throws if the answer breaks off. */
	| (AnswerHead & {readonly kind: 'partial'; readonly framing: Framing; readonly start: Uint8Array; readonly rest: AsyncIterable<Uint8Array>})
	/** The instance states that it did not run the request. */
	| (AnswerHead & {readonly kind: 'not_run'})
	/** Nothing of the request was sent. */
	| {readonly kind: 'not_sent'; readonly detail: string}
	/** The answer is another request's, or not what it says it is. */
	| {readonly kind: 'broken'; readonly detail: string}
	| {readonly kind: 'lost'; readonly detail: string}
	| {readonly kind: 'overdue'}
	| {readonly kind: 'cancelled'};
