import {hashText} from './hash-text.js';

/**
 * Orders candidates for a key by highest random weight: each key has its own order,
 * and a candidate that comes or goes moves only the keys that it heads.
 */
export function rendezvousOrder<T>(key: string, candidates: readonly T[], nameOf: (candidate: T) => string): T[] {
	return candidates
		.map(candidate => ({candidate, name: nameOf(candidate), weight: hashText(`${key}|${nameOf(candidate)}`)}))
		.toSorted((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
		.map(entry => entry.candidate);
}
