import {type QuotaShare} from './quota-share.js';

type Token = NonNullable<ReturnType<QuotaShare['take']>>;

type Waiter<T> = {readonly item: T; readonly untilMs: number};

/** How the wait of one request ended; without a token it is refused. */
type EndedWait<T> = {readonly item: T; readonly token: Token | undefined};

/** Requests that wait for a token, in the order of their arrival by account. Designed for some thousand requests at a time. */
export class QuotaWaiters<T> {
	readonly #waiters = new Map<string, Array<Waiter<T>>>();

	/** Number of waiting requests by account. */
	get counts(): ReadonlyMap<string, number> {
		return new Map([...this.#waiters].map(([account, waiters]) => [account, waiters.length]));
	}

	/** Number of waiting requests of all accounts. */
	get size(): number {
		let sum = 0;
		for (const waiters of this.#waiters.values()) {
			sum += waiters.length;
		}

		return sum;
	}

	countOf(account: string): number {
		return this.#waiters.get(account)?.length ?? 0;
	}

	add(account: string, item: T, untilMs: number): void {
		const waiters = this.#waiters.get(account) ?? [];
		waiters.push({item, untilMs});
		this.#waiters.set(account, waiters);
	}

	/** Returns the requests whose wait ends now: those that get a token of `share`, and those that have waited long enough. */
	end(share: QuotaShare, nowMs: number): Array<EndedWait<T>> {
		const ended: Array<EndedWait<T>> = [];
		for (const [account, waiters] of this.#waiters) {
			const left: Array<Waiter<T>> = [];
			let isEmpty = false;
			for (const waiter of waiters) {
				const token: Token | undefined = isEmpty ? undefined : share.take(account, nowMs);
				isEmpty ||= token === undefined;
				if (token !== undefined || waiter.untilMs <= nowMs) {
					ended.push({item: waiter.item, token});
				} else {
					left.push(waiter);
				}
			}

			if (left.length === 0) {
				this.#waiters.delete(account);
			} else {
				this.#waiters.set(account, left);
			}
		}

		return ended;
	}
}
