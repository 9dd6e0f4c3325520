import {createHash} from 'node:crypto';

/** SHA-256 of a text, in hexadecimal. */
export function digestText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
