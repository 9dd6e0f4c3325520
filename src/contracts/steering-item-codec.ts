import {type Result} from '../result.js';
import {type ListedHost} from './listed-host.js';
import {type LiveInstance} from './live-instance.js';
import {type RouteTable} from './route-table.js';

/** Subject of a key of the store; `other` if it does not concern steering. */
type SteeringKey =
	| {readonly kind: 'routes'}
	| {readonly kind: 'instance'; readonly id: string}
	| {readonly kind: 'evacuation'; readonly zone: string}
	| {readonly kind: 'host'; readonly id: string}
	/** Slot of the quotas, which one host has. */
	| {readonly kind: 'quota_slot'; readonly slot: number}
	| {readonly kind: 'other'};

type Decoded<T> = Result<T, {readonly code: 'unreadable'; readonly message: string}>;

/** Translates between the keys and values of the store's items and typed values; only its implementation contains their names and formats. */
export type SteeringItemCodec = {
	readonly parseKey: (key: string) => SteeringKey;
	readonly hostKey: (id: string) => string;
	readonly quotaSlotKey: (slot: number) => string;
	readonly decodeRoutes: (value: string) => Decoded<RouteTable>;
	readonly decodeInstance: (id: string, value: string) => Decoded<LiveInstance>;
	readonly decodeHost: (value: string) => Decoded<ListedHost>;
	/** Returns the id of the host that has the slot. */
	readonly decodeQuotaSlot: (value: string) => Decoded<string>;
	readonly encodeQuotaSlot: (host: string) => string;
	readonly encodeHost: (host: ListedHost) => string;
};
