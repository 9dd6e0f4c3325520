import {type StoreVersion} from '../contracts/store-version.js';
import {compareVersions} from './compare-versions.js';

type Contact = {readonly version: StoreVersion; readonly atMs: number};

/** Number of contacts remembered while this host lacks the changes before them: those of two watchers in some four seconds. */
const maxPending = 16;

/**
 * Determines up to which time this host is known to have had all changes of the store. A watcher that the store has just answered has them, and so has
 * every host that has the watcher's version.
 */
export class ConfirmedContacts {
	#pending: readonly Contact[] = [];
	#confirmedMs = Number.NEGATIVE_INFINITY;

	/** Returns the time since the latest confirmation, in milliseconds; infinite before the first. */
	unconfirmedMs(nowMs: number): number {
		return Math.max(0, nowMs - this.#confirmedMs);
	}

	/** Records that this host had all changes at a time. */
	confirm(atMs: number): void {
		this.#confirmedMs = Math.max(this.#confirmedMs, atMs);
	}

	/** Records that the store answered a watcher that had this version; it counts once this host has that version, too. */
	add(version: StoreVersion, atMs: number, ownVersion: StoreVersion): void {
		this.#pending = [...this.#pending.slice(1 - maxPending), {version, atMs}];
		this.count(ownVersion);
	}

	/** Counts the contacts of watchers whose changes this host has by now. Versions of another era say nothing about this one. */
	count(ownVersion: StoreVersion): void {
		for (const {version, atMs} of this.#pending) {
			if (version.era === ownVersion.era && version.revision <= ownVersion.revision) {
				this.confirm(atMs);
			}
		}

		this.#pending = this.#pending.filter(({version}) => compareVersions(version, ownVersion) > 0);
	}
}
