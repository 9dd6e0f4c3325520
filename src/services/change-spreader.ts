import {type Clock} from '../contracts/clock.js';
import {type StoreChange} from '../contracts/store-change.js';
import {type StoreVersion} from '../contracts/store-version.js';
import {compareVersions} from '../decisions/compare-versions.js';
import {type ItemReplica} from '../decisions/item-replica.js';
import {PartAssembler} from '../decisions/part-assembler.js';
import {splitIntoParts} from '../decisions/split-into-parts.js';
import {type StoreOutage} from '../decisions/store-outage.js';
import {itemChangesWire} from './item-changes-wire.js';
import {itemDelta} from './item-delta.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';

type SpreaderOptions = {
	readonly items: ItemReplica;
	readonly outage: Pick<StoreOutage, 'eraRetainUntilMs'>;
	readonly clock: Clock;
	readonly metrics: Pick<Metrics, 'count'>;
};

type ChangesPart = Parameters<Parameters<MembersService['onChangesPart']>[0]>[0];
type AppliedChanges = {
	readonly changes: readonly StoreChange[];
	/** Whether the replica had all changes before them. */
	readonly isComplete: boolean;
};

/** Encodes the changes that a watcher of the store spreads in its region, and applies those of other watchers. */
export class ChangeSpreader {
	readonly #options: SpreaderOptions;
	readonly #parts = new PartAssembler();
	/** Version since which the latest spread contained the changes, and the one up to which it did. */
	#latest: {readonly since: StoreVersion; readonly version: StoreVersion} | undefined;

	constructor(options: SpreaderOptions) {
		this.#options = options;
	}

	/**
	 * Returns the parts of the changes since a version, one for each datagram; `undefined` if there are none, or they are too large. The changes of
	 * the spread before are repeated if there is room, so that a lost datagram is made up for by the next one.
	 */
	encodeSince(since: StoreVersion): Uint8Array[] | undefined {
		const {items, metrics} = this.#options;
		const {version} = items;
		if (since.revision === 0 || since.era !== version.era || version.revision <= since.revision) {
			return undefined;
		}

		const isNext = this.#latest !== undefined && this.#latest.version.era === since.era && this.#latest.version.revision >= since.revision;
		const parts = (isNext ? this.#encode(this.#latest!.since) : undefined) ?? this.#encode(since);
		this.#latest = {since, version};
		metrics.count('replica_spreads', {result: parts === undefined ? 'too_large' : 'sent'});
		return parts;
	}

	/** Applies spread changes once all their parts have arrived; returns `undefined` until then, and if they are known or cannot be applied. */
	receive({origin, version, index, count, data}: ChangesPart): AppliedChanges | undefined {
		const {items, clock, metrics, outage} = this.#options;
		if (items.revision === 0 || version.era !== items.version.era || compareVersions(version, items.version) <= 0) {
			return undefined;
		}

		const encoded = this.#parts.add({
			origin, version, index, count, data,
		});
		if (encoded === undefined) {
			return undefined;
		}

		const spread = itemChangesWire.decode(encoded);
		if (spread === undefined) {
			metrics.count('replica_spreads_received', {result: 'invalid'});
			return undefined;
		}

		const nowMs = clock.nowMs();
		const isComplete = spread.sinceRevision <= items.revision;
		metrics.count('replica_spreads_received', {result: isComplete ? 'complete' : 'incomplete'});
		const changes = items.applyDelta({
			sinceRevision: spread.sinceRevision, version, items: spread.items, ...itemDelta.fromChanges(spread, nowMs),
		}, outage.eraRetainUntilMs(nowMs));
		return {changes, isComplete};
	}

	#encode(since: StoreVersion): Uint8Array[] | undefined {
		const {items, clock} = this.#options;
		const encoded = itemChangesWire.encode(itemDelta.toChanges(items.deltaSince(since), clock.nowMs()));
		return encoded === undefined ? undefined : splitIntoParts(encoded);
	}
}
