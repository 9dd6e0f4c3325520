import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest of a text, in hexadecimal. */
export function digestText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
