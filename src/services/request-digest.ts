import {createHash} from 'node:crypto';

type DigestedRequest = {
	readonly service: string;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	/** Name of the account that sends the request; `undefined` if none is known. */
	readonly account?: string | undefined;
};

/** Digest of service, account, method, path and body, which identifies requests that crash upstreams. The body may be added in parts. */
export class RequestDigest {
	readonly #hash;

	constructor({service, method, path, account}: DigestedRequest) {
		this.#hash = createHash('sha256').update(`${service}\n${method}\n${path}\n${account === undefined ? '' : `${account}\n`}`);
	}

	/** Adds the next part of the body. */
	update(part: Uint8Array): this {
		this.#hash.update(part);
		return this;
	}

	/** Returns the digest of what was added so far, in base64url. */
	value(): string {
		return this.#hash.copy().digest('base64url');
	}
}
