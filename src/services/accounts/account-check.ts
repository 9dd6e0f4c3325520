import {type Account} from '../../contracts/account.js';
import {type Route} from '../../contracts/route.js';
import {type RouteTable} from '../../contracts/route-table.js';
import {commonRegions} from '../../decisions/common-regions.js';
import {identifyAccount} from '../../decisions/identify-account.js';
import {type Metrics} from '../metrics.js';
import {type ProxyOutcome} from '../proxy-outcome.js';

type CheckedRequest = {readonly accountKey: string | undefined};

type Admission =
	| {
		readonly kind: 'admitted';
		readonly route: Route;
		/** Configuration by which the request was checked. */
		readonly table: RouteTable;
		/** `undefined` for an anonymous request. */
		readonly account: Account | undefined;
		/** Whether the client's identity headers must not reach instances. */
		readonly hidesIdentity: boolean;
		readonly priority: number;
		/** Whether the request carries a key that no account of the configuration holds; it may belong to one of a later configuration. */
		readonly isKeyUnknown: boolean;
		/** Regions that both the route and the account allow; empty for all. */
		readonly allowedRegions: readonly string[];
	}
	| {readonly kind: 'refused'; readonly route: Route | undefined; readonly account: Account | undefined; readonly outcome: Exclude<ProxyOutcome, {kind: 'answer'}>};

/** Only another configuration can change this refusal; an earlier retry is in vain. */
const noCommonRegionRetryAfterMs = 60_000;

/** Checks requests against the accounts of a configuration, and counts the results. */
export class AccountCheck {
	readonly #metrics: Pick<Metrics, 'count'>;

	constructor(metrics: Pick<Metrics, 'count'>) {
		this.#metrics = metrics;
	}

	/** Decides whether a request may run, and with which priority and in which regions. */
	admit({accountKey}: CheckedRequest, route: Route, table: RouteTable): Admission {
		const identity = identifyAccount({table, isPublic: route.isPublic, key: accountKey});
		const hidesIdentity = table.accounts.size > 0;
		if (hidesIdentity) {
			this.#metrics.count('account_checks', {result: identity.kind, route: route.isPublic ? 'public' : 'private'});
		}

		switch (identity.kind) {
			case 'anonymous': {
				return {
					kind: 'admitted',
					route,
					table,
					account: undefined,
					hidesIdentity,
					priority: route.priority,
					isKeyUnknown: hidesIdentity && accountKey !== undefined,
					allowedRegions: route.allowedRegions,
				};
			}

			case 'account': {
				return this.#admitAccount(identity.account, route, table);
			}

			case 'missing_key':
			case 'unknown_key': {
				return {
					kind: 'refused', route, account: undefined, outcome: {
						kind: 'invalid', reason: 'unauthorized', figures: {cause: identity.kind, configuration: table.version, accounts: table.accounts.size},
					},
				};
			}
		}
	}

	#admitAccount(account: Account, route: Route, table: RouteTable): Admission {
		const allowedRegions = commonRegions(route.allowedRegions, account.allowedRegions);
		if (allowedRegions === undefined) {
			return {
				kind: 'refused', route, account, outcome: {
					kind: 'not_run',
					reason: 'no_common_region',
					retryAfterMs: noCommonRegionRetryAfterMs,
					figures: {routeRegions: route.allowedRegions.join(' '), accountRegions: account.allowedRegions.join(' ')},
				},
			};
		}

		return {
			kind: 'admitted', route, table, account, hidesIdentity: true, priority: account.priority ?? route.priority, isKeyUnknown: false, allowedRegions,
		};
	}
}
