import {type StoreVersion} from '../contracts/store-version.js';

/** Orders two versions of the store by era, then by revision: negative if `a` is older, 0 if they are equal, positive if `a` is newer. */
export function compareVersions(a: StoreVersion, b: StoreVersion): number {
	return a.era === b.era ? a.revision - b.revision : a.era - b.era;
}
