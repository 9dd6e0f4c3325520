import {RequestDigest} from './request-digest.js';

type FingerprintedRequest = ConstructorParameters<typeof RequestDigest>[0] & {
	/** `undefined` for a request without a body. */
	readonly body: Uint8Array | undefined;
};

/** Returns the fingerprint of a request whose body is known, which identifies requests that crash upstreams. */
export function fingerprintOf({body, ...head}: FingerprintedRequest): string {
	const digest = new RequestDigest(head);
	return (body === undefined ? digest : digest.update(body)).value();
}
