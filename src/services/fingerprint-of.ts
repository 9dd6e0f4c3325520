import {createHash} from 'node:crypto';

type FingerprintedRequest = {
	readonly service: string;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	/** `undefined` for a body that is streamed and not buffered. */
	readonly body: Uint8Array | undefined;
};

/** Returns a digest of service, method, path and body, which identifies requests that crash upstreams. */
export function fingerprintOf({service, method, path, body}: FingerprintedRequest): string {
	const hash = createHash('sha256').update(`${service}\n${method}\n${path}\n`);
	return (body === undefined ? hash : hash.update(body)).digest('base64url');
}
