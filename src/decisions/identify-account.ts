import {type Account} from '../contracts/account.js';
import {type RouteTable} from '../contracts/route-table.js';

type IdentifyInputs = {
	readonly table: Pick<RouteTable, 'accounts' | 'accountByKey'>;
	readonly isPublic: boolean;
	/** Key that the request carries. */
	readonly key: string | undefined;
};

type Identity =
	/** Served without an account: the configuration has none, or the route is public. */
	| {readonly kind: 'anonymous'}
	| {readonly kind: 'account'; readonly account: Account}
	| {readonly kind: 'unknown_key'}
	| {readonly kind: 'missing_key'};

/** Decides whose request it is, with one look-up by the key's text. It is designed for 100,000 keys and each request of a host. */
export function identifyAccount({table, isPublic, key}: IdentifyInputs): Identity {
	if (table.accounts.size === 0) {
		return {kind: 'anonymous'};
	}

	const account = key === undefined ? undefined : table.accountByKey.get(key);
	if (account !== undefined) {
		return {kind: 'account', account};
	}

	if (isPublic) {
		return {kind: 'anonymous'};
	}

	return {kind: key === undefined ? 'missing_key' : 'unknown_key'};
}
