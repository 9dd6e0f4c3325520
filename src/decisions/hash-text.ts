import murmurHash3 from 'imurmurhash';

/** 32-bit MurmurHash3 of a text. */
export function hashText(text: string): number {
	return murmurHash3(text).result();
}
