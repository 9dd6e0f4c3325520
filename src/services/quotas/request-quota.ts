import {type Account} from '../../contracts/account.js';
import {type QuotaService} from './quota-service.js';

type QuotaResult = Awaited<ReturnType<QuotaService['take']>>;

/** Token of one request across its attempts. */
export class RequestQuota {
	readonly #quotas: Pick<QuotaService, 'take'>;
	readonly #account: Account | undefined;
	#token: Extract<QuotaResult, {kind: 'granted'}> | undefined;

	constructor(quotas: Pick<QuotaService, 'take'>, account: Account | undefined) {
		this.#quotas = quotas;
		this.#account = account;
	}

	/** Takes a token unless the request has one or needs none. `waited`: time has passed, so that the choice of an instance is out of date. */
	async take(deadlineMs: number): Promise<{readonly kind: 'held' | 'waited'} | Extract<QuotaResult, {kind: 'over_quota'}>> {
		if (this.#token !== undefined || this.#account?.quota === undefined) {
			return {kind: 'held'};
		}

		const result = await this.#quotas.take(this.#account, deadlineMs);
		if (result.kind === 'over_quota') {
			return result;
		}

		this.#token = result;
		return {kind: result.hasWaited ? 'waited' : 'held'};
	}

	/** Gives the token back, since the request certainly does not run. */
	giveBack(): void {
		this.#token?.giveBack();
		this.#token = undefined;
	}
}
