import {type RouteTable} from '../contracts/route-table.js';
import {AccountCheck} from './accounts/account-check.js';
import {type Metrics} from './metrics.js';
import {type ProxyRequest} from './proxy-request.js';
import {type SteeringService} from './steering-service.js';

type AdmissionOptions = {
	readonly steering: Pick<SteeringService, 'routes' | 'match' | 'nextServiceOf'>;
	readonly metrics: Pick<Metrics, 'count'>;
};

type Admission = ReturnType<AccountCheck['admit']>;
type Admitted = Extract<Admission, {kind: 'admitted'}>;
type Refused = Extract<Admission, {kind: 'refused'}>;
/** Service that a request is for, and how it was admitted. */
type Destination = {readonly kind: 'admitted'; readonly admission: Admitted; readonly service: string};

const notReadyRetryAfterMs = 500;

/** Decides by the configuration in force whether a request may run, and at which service. */
export class RequestAdmission {
	readonly #steering: AdmissionOptions['steering'];
	readonly #accounts: AccountCheck;

	constructor({steering, metrics}: AdmissionOptions) {
		this.#steering = steering;
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
	 * Decides anew on a request that was admitted by a configuration which is no longer in force. It keeps its service if the route still has that
	 * one, so that it takes no second turn of the traffic split.
	 */
	decideAgain(req: ProxyRequest, {admission, service}: Pick<Destination, 'admission' | 'service'>): Destination | Refused {
		if (this.#steering.routes === admission.table) {
			return {kind: 'admitted', admission, service};
		}

		const latest = this.admit(req);
		if (latest.kind === 'refused') {
			return latest;
		}

		const {targets} = latest.route;
		const isTarget = targets.some(target => target.service === service && (target.weight > 0 || targets.length === 1));
		const next = isTarget ? service : this.#steering.nextServiceOf(latest.route);
		return next === undefined ? refused({kind: 'invalid', reason: 'no_route'}) : {kind: 'admitted', admission: latest, service: next};
	}

	#admitBy(table: RouteTable, req: ProxyRequest): Admission {
		const [path] = req.target.split('?', 1);
		const route = this.#steering.match(req.host, path!);
		return route === undefined ? refused({kind: 'invalid', reason: 'no_route'}) : this.#accounts.admit(req, route, table);
	}
}

function refused(outcome: Refused['outcome']): Refused {
	return {
		kind: 'refused', route: undefined, account: undefined, outcome,
	};
}
