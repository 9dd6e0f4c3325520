import {type ItemChanges} from '../contracts/item-changes.js';
import {type ItemReplica} from '../decisions/item-replica.js';

type ReplicaDelta = Parameters<ItemReplica['applyDelta']>[0];
/** Changes as hosts send them to each other, without what all messages have in common. */
type SentChanges = Pick<ItemChanges, 'removals' | 'gaps'>;

/** Converts changes of a replica to the form in which hosts send them to each other, and back. */
export const itemDelta = {
	/** Returns changes of a replica in the form in which they are sent. */
	toChanges({sinceRevision, version, items, removals, gaps}: ReplicaDelta, nowMs: number): ItemChanges {
		return {
			sinceRevision,
			revision: version.revision,
			items: [...items],
			removals: removals.map(removal => [removal.key, removal.revision, Math.max(0, removal.retainUntilMs - nowMs)]),
			gaps: gaps.map(({afterRevision, upToRevision}) => [afterRevision, upToRevision]),
		};
	},

	/** Returns the removals and gaps of received changes in the form in which a replica applies them. */
	fromChanges: ({removals, gaps}: SentChanges, nowMs: number): Pick<ReplicaDelta, 'removals' | 'gaps'> => ({
		removals: removals.map(([key, revision, retainMs]) => ({
			kind: 'removed', key, revision, retainUntilMs: nowMs + retainMs,
		})),
		gaps: gaps.map(([afterRevision, upToRevision]) => ({afterRevision, upToRevision})),
	}),
};
