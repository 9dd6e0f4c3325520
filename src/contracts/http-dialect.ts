import {type IncomingHttpHeaders} from 'node:http';

/** What a client's request says beside its path and body. */
type ClientRequestInfo = {
	/** Identifies this attempt of the client. */
	readonly requestId: string | undefined;
	/** Object that the request concerns. */
	readonly objectKey: string | undefined;
	/** Time for which the client waits, in milliseconds. */
	readonly remainingMs: number | undefined;
};

/** What an instance's answer says beside its status and body. */
type InstanceAnswerInfo = {
	readonly requestId: string | undefined;
	/** Whether the instance vouches for the answer. */
	readonly isSigned: boolean;
	/** Whether the instance states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether another instance has the address. */
	readonly isMisdirected: boolean;
	/** Load that the instance tells of itself. */
	readonly load: {readonly running: number; readonly waiting: number; readonly slots: number} | undefined;
};

/** Names of headers towards clients and instances; the rest of the system uses the typed values. */
export type HttpDialect = {
	readonly readRequest: (headers: IncomingHttpHeaders) => ClientRequestInfo;
	/** Headers that the system sets on a request to an instance, as name and value in turn. */
	readonly requestHeaders: (send: {readonly instanceId: string; readonly remainingMs: number}) => readonly string[];
	/** Names of request headers that are replaced by those of `requestHeaders`, in lower case. */
	readonly replacedHeaders: ReadonlySet<string>;
	readonly readAnswer: (status: number, headers: ReadonlyMap<string, string>) => InstanceAnswerInfo;
};
