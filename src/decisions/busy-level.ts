/** Weight of a new sample in the mean load, from 0 to 1; with a sample a second, a load that lasts counts after some five seconds. */
const sampleWeight = 0.2;
/** Mean loads from which a host has level 1, 2 and 3. Below the first, a host has room for the bursts that a mean hides. */
const levelLoads: readonly number[] = [0.7, 0.85, 0.95];
/** A level ends this far below the load at which it begins; a loop's load varies by less from second to second at a constant rate of requests. */
const hysteresisLoad = 0.15;
/**
 * Shortest times from one change of the level to the next one, up or down. Each change is an update to all hosts of the region, and makes
 * some clients drop connections; it may take effect late when the load falls, but not when it rises.
 */
const minStayBeforeRiseMs = 10_000;
const minStayBeforeFallMs = 30_000;

/**
 * Reduces the load of a host, from 0 to 1, to one of four levels that change seldom. It is meant for a sample a second from one host;
 * a sample counts once however long it covers, since a process may be paused for seconds.
 */
export class BusyLevel {
	#meanLoad: number | undefined;
	#level = 0;
	#changedMs = Number.NEGATIVE_INFINITY;

	/** Mean of the samples, from 0 to 1. */
	get meanLoad(): number {
		return this.#meanLoad ?? 0;
	}

	/** Adds a sample and returns the level, from 0 for a host with room to 3. */
	update(load: number, nowMs: number): number {
		this.#meanLoad = (this.#meanLoad ?? load) + (sampleWeight * (load - (this.#meanLoad ?? load)));
		const {meanLoad} = this;
		const risen = levelLoads.filter(limit => meanLoad >= limit).length;
		const kept = levelLoads.filter(limit => meanLoad >= limit - hysteresisLoad).length;
		const level = Math.max(risen, Math.min(kept, this.#level));
		const minStayMs = level > this.#level ? minStayBeforeRiseMs : minStayBeforeFallMs;
		if (level !== this.#level && nowMs - this.#changedMs >= minStayMs) {
			this.#level = level;
			this.#changedMs = nowMs;
		}

		return this.#level;
	}
}
