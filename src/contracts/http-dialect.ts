import {type IncomingHttpHeaders} from 'node:http';

/** Values of a client's request headers. */
type ClientRequestInfo = {
	/** Identifier of this request of the client; a retry by the client has another one. */
	readonly requestId: string | undefined;
	/** Affinity key: identifies the object that the request concerns. */
	readonly objectKey: string | undefined;
	/** Time for which the client waits for the response, in milliseconds. */
	readonly remainingMs: number | undefined;
	/** Key of the client's account. It is secret: it must not be logged or sent to instances. */
	readonly accountKey: string | undefined;
};

/** Values of the status and headers of an instance's response. */
type InstanceResponseInfo = {
	readonly requestId: string | undefined;
	/** Whether the instance signed the response. */
	readonly isSigned: boolean;
	/** Whether the instance states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the request arrived at another instance than the expected one. */
	readonly isMisdirected: boolean;
	/** Id of the instance that responded, if it states it. */
	readonly instanceId: string | undefined;
	/** Whether the instance states that it is leaving. */
	readonly isLeaving: boolean;
	/** Time in milliseconds for which the instance wants no more requests from this host; `undefined` if it states none. */
	readonly pauseMs: number | undefined;
	/** Load that the instance reports: requests that run and that wait, and its slots. */
	readonly load: {readonly running: number; readonly waiting: number; readonly slots: number} | undefined;
};

/** Translates between the platform's HTTP headers and typed values; only its implementation contains the names of these headers. */
export type HttpDialect = {
	readonly readRequest: (headers: IncomingHttpHeaders) => ClientRequestInfo;
	/** Returns the headers that the system sets on a request to an instance, as alternating names and values. */
	readonly requestHeaders: (send: {readonly instanceId: string; readonly remainingMs: number; readonly accountName: string | undefined}) => readonly string[];
	/** Lower-case names of the request headers that are replaced by those of `requestHeaders`. */
	readonly replacedHeaders: ReadonlySet<string>;
	/** Lower-case names of the request headers that carry an account's key or name. They are not passed on if the configuration has accounts. */
	readonly identityHeaders: ReadonlySet<string>;
	/** Headers of the response to a request without a known key, as alternating names and values; status 401 requires them (RFC 9110, section 15.5.2). */
	readonly challenge: readonly string[];
	readonly readResponse: (status: number, headers: ReadonlyMap<string, string>) => InstanceResponseInfo;
};
