import murmurHash3 from 'imurmurhash';

/** Returns the 32-bit MurmurHash3 of a string. */
export function hashText(text: string): number {
	return murmurHash3(text).result();
}
