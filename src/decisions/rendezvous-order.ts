import {hashText} from './hash-text.js';

/**
 * Orders candidates for a key by rendezvous hashing (highest random weight): each key has its own order, and adding or
 * removing a candidate changes the first candidate only of the keys for which it ranks first.
 * Source: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 6(1), 1998.
 */
export function rendezvousOrder<T>(key: string, candidates: readonly T[], nameOf: (candidate: T) => string): T[] {
	return candidates
		.map(candidate => ({candidate, name: nameOf(candidate), weight: hashText(`${key}|${nameOf(candidate)}`)}))
		.toSorted((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
		.map(entry => entry.candidate);
}
