import {digestText} from './digest-text.js';

/** Longest object key that is kept as it is. A client may send one of up to the size of a request head, and several tables hold them. */
const maxKeyLength = 128;

/** Returns the object key of a request for use in tables and reports: a digest in place of a long one. */
export function boundedObjectKey(key: string | undefined): string | undefined {
	return key === undefined || key.length <= maxKeyLength ? key : digestText(key);
}
