import {type Member} from '../contracts/member.js';
import {type RegionSummary} from '../contracts/region-summary.js';
import {hashText} from './hash-text.js';
import {memberKey} from './member-key.js';
import {UpdateQueue} from './update-queue.js';

type RegionEntry = {readonly summary: RegionSummary; readonly heardMs: number};

/** Summaries of the regions; versions order them, so a late one replaces nothing. */
export class RegionTable {
	readonly #own: string;
	readonly #entries = new Map<string, RegionEntry>();
	readonly #news = new UpdateQueue<RegionSummary>();
	#ownSummary: RegionSummary;
	#newsLimit = 1;

	constructor(own: string) {
		this.#own = own;
		this.#ownSummary = {region: own, version: 0, hosts: []};
	}

	names(): readonly string[] {
		return [...this.#entries.keys()];
	}

	hostsOf(region: string): readonly Member[] {
		return this.#entries.get(region)?.summary.hosts ?? [];
	}

	silenceOf(region: string, nowMs: number): number {
		const heardMs = this.#entries.get(region)?.heardMs;
		return heardMs === undefined ? Number.POSITIVE_INFINITY : nowMs - heardMs;
	}

	/** Takes in that a region was heard from. */
	touch(region: string, nowMs: number): void {
		const current = this.#entries.get(region);
		if (current !== undefined) {
			this.#entries.set(region, {...current, heardMs: nowMs});
		}
	}

	/** Version and hash of what is known of another region. */
	knownOf(region: string): {readonly version: number; readonly hash: number} {
		const summary = this.#entries.get(region)?.summary;
		return summary === undefined ? {version: 0, hash: 0} : {version: summary.version, hash: hashOf(summary)};
	}

	/** Version and hash of the own region's summary. */
	ownMark(hosts: readonly Member[]): {readonly version: number; readonly hash: number} {
		const own = this.own(hosts);
		return {version: own.version, hash: hashOf(own)};
	}

	/** Takes in what another region knows of the own one: later own versions have to exceed it. */
	noteVersion(version: number, hash: number): void {
		const isOther = hash !== hashOf(this.#ownSummary);
		if (version > this.#ownSummary.version || (isOther && version === this.#ownSummary.version)) {
			this.#ownSummary = {...this.#ownSummary, version: isOther ? version + 1 : version};
		}
	}

	/** Takes in a summary; answers whether it changed what is known. News is passed on `limit` times. */
	take(summary: RegionSummary, nowMs: number, limit: number): boolean {
		this.#newsLimit = limit;
		if (summary.region === this.#own) {
			return false;
		}

		const current = this.#entries.get(summary.region);
		if (current !== undefined && summary.version < current.summary.version) {
			return false;
		}

		this.#entries.set(summary.region, {summary, heardMs: nowMs});
		const isChanged = current === undefined || hostNames(current.summary) !== hostNames(summary);
		if (isChanged) {
			this.#news.add(summary.region, summary);
		}

		return isChanged;
	}

	/** The own region's summary, with a new version when its hosts changed. */
	own(hosts: readonly Member[]): RegionSummary {
		const candidate = {...this.#ownSummary, hosts: [...hosts]};
		if (hostNames(candidate) !== hostNames(this.#ownSummary)) {
			this.#ownSummary = {...candidate, version: this.#ownSummary.version + 1};
		}

		return this.#ownSummary;
	}

	/** Up to `count` changed summaries to pass on within the region. */
	takeNews(count: number): RegionSummary[] {
		return this.#news.take(count, this.#newsLimit);
	}
}

/** Hash of a summary's hosts; 0 stands for none. */
function hashOf(summary: RegionSummary): number {
	return summary.hosts.length === 0 ? 0 : hashText(hostNames(summary));
}

function hostNames(summary: RegionSummary): string {
	return summary.hosts.map(member => memberKey(member)).join(' ');
}
