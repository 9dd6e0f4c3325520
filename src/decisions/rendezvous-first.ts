import {hashText} from './hash-text.js';

/** Returns the first eligible candidate in the order of `rendezvousOrder`, without sorting the others; `undefined` if none is eligible. */
export function rendezvousFirst<T>(key: string, candidates: readonly T[], nameOf: (candidate: T) => string, isEligible: (candidate: T) => boolean = () => true): T | undefined {
	let best: {readonly candidate: T; readonly name: string; readonly weight: number} | undefined;
	for (const candidate of candidates) {
		const name = nameOf(candidate);
		const weight = hashText(`${key}|${name}`);
		const isBefore = best === undefined || weight > best.weight || (weight === best.weight && name < best.name);
		if (isBefore && isEligible(candidate)) {
			best = {candidate, name, weight};
		}
	}

	return best?.candidate;
}
