import {rawHeader} from '../adapters/raw-header.js';

/** Adds the `Content-Length` header of the instance's response, if it has one. */
export function withContentLength(headers: readonly string[], instanceHeaders: readonly string[]): string[] {
	const length = rawHeader(instanceHeaders, 'content-length');
	return length === undefined ? [...headers] : [...headers, 'Content-Length', length];
}
