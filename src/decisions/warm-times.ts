type WarmAnswer = {
	readonly service: string;
	readonly route: string;
	readonly objectKey: string;
	readonly instanceId: string;
	/** Time since the send, in milliseconds. */
	readonly tookMs: number;
};

/** Objects remembered before all are forgotten. */
const maxObjects = 10_000;

/** Collects the times of requests whose object the same instance had handled before for this host, and so was warm. */
export class WarmTimes {
	readonly #instances = new Map<string, string>();
	#shortest = new Map<string, {readonly service: string; readonly route: string; shortestMs: number}>();

	/** Takes in an answer to a request that did not wait at its instance. */
	count({service, route, objectKey, instanceId, tookMs}: WarmAnswer): void {
		const object = `${service}|${objectKey}`;
		const isWarm = this.#instances.get(object) === instanceId;
		if (this.#instances.size >= maxObjects) {
			this.#instances.clear();
		}

		this.#instances.set(object, instanceId);
		if (!isWarm) {
			return;
		}

		const key = `${service}|${route}`;
		const entry = this.#shortest.get(key) ?? {service, route, shortestMs: tookMs};
		entry.shortestMs = Math.min(entry.shortestMs, tookMs);
		this.#shortest.set(key, entry);
	}

	/** The shortest time of each route of a service since the last call, in milliseconds. */
	take(): Array<[service: string, route: string, shortestMs: number]> {
		const taken = [...this.#shortest.values()];
		this.#shortest = new Map();
		return taken.map(({service, route, shortestMs}) => [service, route, Math.round(shortestMs)]);
	}
}
