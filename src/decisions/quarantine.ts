/** What is held against one request. */
type Strikes = {
	readonly fingerprint: string;
	readonly service: string;
	/** Instances that broke while they ran the request. */
	readonly instances: readonly string[];
	/** Time of the first strike at this host, in monotonic milliseconds. */
	readonly sinceMs: number;
};

/** Instances that have to break before a request is refused. */
const strikeLimit = 2;
/** Time after which strikes are forgotten, in milliseconds. */
const memoryMs = 3_600_000;
/** Requests remembered. */
const maxRemembered = 10_000;

/**
 * Requests that broke the instances that ran them. A request is refused after it broke two different ones,
 * so one bad instance condemns nothing; a whole answer clears the request.
 */
export class Quarantine {
	readonly #strikes = new Map<string, Strikes>();

	/** Whether a request has to be refused. */
	isBlocked(fingerprint: string, nowMs: number): boolean {
		const held = this.#strikes.get(fingerprint);
		return held !== undefined && held.instances.length >= strikeLimit && nowMs - held.sinceMs < memoryMs;
	}

	/** Instances that a suspected request has broken. */
	brokenBy(fingerprint: string): readonly string[] {
		return this.#strikes.get(fingerprint)?.instances ?? [];
	}

	/** Takes in that instances broke; answers whether anything new was learned. */
	strike(fingerprint: string, service: string, instances: readonly string[], nowMs: number): boolean {
		const held = this.#strikes.get(fingerprint);
		const all = new Set([...(held?.instances ?? []), ...instances]);
		if (held?.instances.length === all.size) {
			return false;
		}

		this.#strikes.delete(fingerprint);
		this.#strikes.set(fingerprint, {
			fingerprint, service, instances: [...all], sinceMs: held?.sinceMs ?? nowMs,
		});
		if (this.#strikes.size > maxRemembered) {
			const [oldest] = this.#strikes.keys();
			this.#strikes.delete(oldest!);
		}

		return true;
	}

	/** Clears a request that was answered whole, or that an operator lifts; answers whether it was held. */
	clear(fingerprint: string): boolean {
		return this.#strikes.delete(fingerprint);
	}

	/** Requests refused now. */
	blocked(nowMs: number): readonly Strikes[] {
		return [...this.#strikes.values()].filter(held => this.isBlocked(held.fingerprint, nowMs));
	}

	/** Everything held against requests, to be passed to other hosts. */
	all(): readonly Strikes[] {
		return [...this.#strikes.values()];
	}
}
