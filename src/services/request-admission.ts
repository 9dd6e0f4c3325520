import {type RouteTable} from '../contracts/route-table.js';
import {AccountCheck} from './accounts/account-check.js';
import {type Metrics} from './metrics.js';
import {type ProxyRequest} from './proxy-request.js';
import {type SteeringService} from './steering-service.js';

type AdmissionOptions = {
	readonly steering: Pick<SteeringService, 'routes' | 'match' | 'nextServiceOf' | 'unconfirmedMs'>;
	readonly metrics: Pick<Metrics, 'count'>;
	/** Time without confirmation that the configuration is the latest from which requests with homes are refused, in milliseconds. */
	readonly maxUnconfirmedMs: number;
};

type Admission = ReturnType<AccountCheck['admit']>;
type Admitted = Extract<Admission, {kind: 'admitted'}>;
type Refused = Extract<Admission, {kind: 'refused'}>;
/** Service that a request is for, and how it was admitted. */
type Destination = {readonly kind: 'admitted'; readonly admission: Admitted; readonly service: string};

const notReadyRetryAfterMs = 500;
/** Interval at which the watchers of the store report contact: the next report may confirm the configuration. */
const unconfirmedRetryAfterMs = 500;

/** Decides by the configuration in force whether a request may run, and at which service. */
export class RequestAdmission {
	readonly #steering: AdmissionOptions['steering'];
	readonly #accounts: AccountCheck;
	readonly #maxUnconfirmedMs: number;

	constructor({steering, metrics, maxUnconfirmedMs}: AdmissionOptions) {
		this.#steering = steering;
		this.#maxUnconfirmedMs = maxUnconfirmedMs;
		this.#accounts = new AccountCheck(metrics);
	}

	/** Decides whether a request may run, from its head alone. It is called before the traffic split, whose turns are for requests that may run. */
	admit(req: ProxyRequest): Admission {
		const table = this.#steering.routes;
		if (req.disconnect.aborted) {
			return refused({kind: 'unknown', reason: 'cancelled'});
		}

		return table === undefined ? refused({kind: 'not_run', reason: 'not_ready', retryAfterMs: notReadyRetryAfterMs}) : this.#admitBy(table, req);
	}

	/**
	 * Decides anew on a request that was admitted some time ago, perhaps by a configuration which is no longer in force. It keeps its service if the route still has that
	 * one, so that it takes no second turn of the traffic split.
	 */
	decideAgain(req: ProxyRequest, {admission, service}: Pick<Destination, 'admission' | 'service'>): Destination | Refused {
		const isInForce = this.#steering.routes === admission.table;
		const latest = isInForce ? this.#confirm(admission) : this.admit(req);
		if (latest.kind === 'refused') {
			return latest;
		}

		if (isInForce) {
			return {kind: 'admitted', admission, service};
		}

		const {targets} = latest.route;
		const isTarget = targets.some(target => target.service === service && (target.weight > 0 || targets.length === 1));
		const next = isTarget ? service : this.#steering.nextServiceOf(latest.route);
		return next === undefined ? refused({kind: 'invalid', reason: 'no_route'}) : {kind: 'admitted', admission: latest, service: next};
	}

	#admitBy(table: RouteTable, req: ProxyRequest): Admission {
		const [path] = req.target.split('?', 1);
		const route = this.#steering.match(req.host, path!);
		return this.#confirm(route === undefined ? refused({kind: 'invalid', reason: 'no_route'}) : this.#accounts.admit(req, route, table));
	}

	/** Refuses a request as not run if a later configuration, which this host may not have, might move its homes or allow what this one does not. */
	#confirm(admission: Admission): Admission {
		const {unconfirmedMs} = this.#steering;
		if (unconfirmedMs <= this.#maxUnconfirmedMs || !mayBeOutdated(admission)) {
			return admission;
		}

		const {route, account} = admission;
		return {
			kind: 'refused', route, account, outcome: {
				kind: 'not_run',
				reason: 'unconfirmed',
				retryAfterMs: unconfirmedRetryAfterMs,
				figures: {configuration: this.#steering.routes?.version ?? 0, unconfirmedMs: Number.isFinite(unconfirmedMs) ? Math.round(unconfirmedMs) : 'never confirmed'},
			},
		};
	}
}

/** Whether a later configuration might be violated by what was decided: requests with homes, and those that are refused for good. */
function mayBeOutdated(admission: Admission): boolean {
	return admission.kind === 'admitted'
		? admission.isKeyUnknown || admission.allowedRegions.length > 0
		: admission.outcome.kind === 'invalid';
}

function refused(outcome: Refused['outcome']): Refused {
	return {
		kind: 'refused', route: undefined, account: undefined, outcome,
	};
}
