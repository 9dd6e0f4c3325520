import {type Member} from '../contracts/member.js';
import {type RegionSummary} from '../contracts/region-summary.js';
import {hashText} from './hash-text.js';
import {memberKey} from './member-key.js';
import {UpdateQueue} from './update-queue.js';

type RegionEntry = {readonly summary: RegionSummary; readonly contactMs: number};

/** Latest summary of each region. Summaries are ordered by version, so a delayed one does not replace a newer one. */
export class RegionTable {
	readonly #ownRegion: string;
	readonly #entries = new Map<string, RegionEntry>();
	readonly #updates = new UpdateQueue<RegionSummary>();
	#ownSummary: RegionSummary;
	#sendLimit = 1;

	constructor(ownRegion: string) {
		this.#ownRegion = ownRegion;
		this.#ownSummary = {region: ownRegion, version: 0, hosts: []};
	}

	regions(): readonly string[] {
		return [...this.#entries.keys()];
	}

	hostsOf(region: string): readonly Member[] {
		return this.#entries.get(region)?.summary.hosts ?? [];
	}

	msSinceContact(region: string, nowMs: number): number {
		const contactMs = this.#entries.get(region)?.contactMs;
		return contactMs === undefined ? Number.POSITIVE_INFINITY : nowMs - contactMs;
	}

	/** Records that a message from a region was received. */
	recordContact(region: string, nowMs: number): void {
		const current = this.#entries.get(region);
		if (current !== undefined) {
			this.#entries.set(region, {...current, contactMs: nowMs});
		}
	}

	/** Returns the version and hash of the stored summary of another region. */
	digestOf(region: string): {readonly version: number; readonly hash: number} {
		const summary = this.#entries.get(region)?.summary;
		return summary === undefined ? {version: 0, hash: 0} : {version: summary.version, hash: hashOf(summary)};
	}

	/** Returns the version and hash of the own region's summary. */
	ownDigest(hosts: readonly Member[]): {readonly version: number; readonly hash: number} {
		const ownSummary = this.ownSummary(hosts);
		return {version: ownSummary.version, hash: hashOf(ownSummary)};
	}

	/** Raises the own region's version, so that later summaries supersede the one that another region has stored. */
	raiseOwnVersion(version: number, hash: number): void {
		const isDifferent = hash !== hashOf(this.#ownSummary);
		if (version > this.#ownSummary.version || (isDifferent && version === this.#ownSummary.version)) {
			this.#ownSummary = {...this.#ownSummary, version: isDifferent ? version + 1 : version};
		}
	}

	/** Applies a summary; returns whether the region's hosts changed. A changed summary is sent `sendLimit` times. */
	apply(summary: RegionSummary, nowMs: number, sendLimit: number): boolean {
		this.#sendLimit = sendLimit;
		if (summary.region === this.#ownRegion) {
			return false;
		}

		const current = this.#entries.get(summary.region);
		if (current !== undefined && summary.version < current.summary.version) {
			return false;
		}

		this.#entries.set(summary.region, {summary, contactMs: nowMs});
		const isChanged = current === undefined || hostKeys(current.summary) !== hostKeys(summary);
		if (isChanged) {
			this.#updates.add(summary.region, summary);
		}

		return isChanged;
	}

	/** Returns the own region's summary; its version is increased if the hosts have changed. */
	ownSummary(hosts: readonly Member[]): RegionSummary {
		const candidate = {...this.#ownSummary, hosts: [...hosts]};
		if (hostKeys(candidate) !== hostKeys(this.#ownSummary)) {
			this.#ownSummary = {...candidate, version: this.#ownSummary.version + 1};
		}

		return this.#ownSummary;
	}

	/** Returns up to `count` changed summaries to send to members of the own region. */
	takeUpdates(count: number): RegionSummary[] {
		return this.#updates.take(count, this.#sendLimit);
	}
}

/** Returns the hash of a summary's hosts; 0 if it has none. */
function hashOf(summary: RegionSummary): number {
	return summary.hosts.length === 0 ? 0 : hashText(hostKeys(summary));
}

function hostKeys(summary: RegionSummary): string {
	return summary.hosts.map(member => memberKey(member)).join(' ');
}
