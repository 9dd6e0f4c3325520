import {type LiveInstance} from '../contracts/live-instance.js';

/** Identity of a process of an instance: a restarted instance has another start time or address. */
type InstanceProcess = Pick<LiveInstance, 'id' | 'born' | 'address'>;

type Notice = {isLeaving: boolean; pausedUntilMs: number};

/** Limit of a pause: a mistaken value must not take an instance out of use for as long as its process runs. */
const maxPauseMs = 600_000;
/** Number of processes remembered; the oldest notices are dropped. */
const maxNotices = 4096;

/**
 * What instances stated about themselves in their responses to this host: that they are leaving, or that they want no requests for
 * some time. A notice holds for one process of the instance, whatever the store lists meanwhile.
 */
export class InstanceNotices {
	readonly #notices = new Map<string, Notice>();

	/** Records that a process is leaving; returns whether this is new. */
	recordLeaving(process: InstanceProcess): boolean {
		const notice = this.#getOrAdd(process);
		const isNew = !notice.isLeaving;
		notice.isLeaving = true;
		return isNew;
	}

	/** Records that a process wants no requests from this host for some time. A pause never shortens an earlier one. */
	recordPause(process: InstanceProcess, pauseMs: number, nowMs: number): void {
		const notice = this.#getOrAdd(process);
		notice.pausedUntilMs = Math.max(notice.pausedUntilMs, nowMs + Math.min(maxPauseMs, pauseMs));
	}

	isLeaving(process: InstanceProcess): boolean {
		return this.#find(process)?.isLeaving ?? false;
	}

	/** Returns the rest of a process's pause in milliseconds; 0 if there is none. */
	pauseMs(process: InstanceProcess, nowMs: number): number {
		return Math.max(0, (this.#find(process)?.pausedUntilMs ?? nowMs) - nowMs);
	}

	/** Called for every instance of a service at each request; mostly there are no notices. */
	#find(process: InstanceProcess): Notice | undefined {
		return this.#notices.size === 0 ? undefined : this.#notices.get(keyOf(process));
	}

	#getOrAdd(process: InstanceProcess): Notice {
		const key = keyOf(process);
		let notice = this.#notices.get(key);
		if (notice === undefined) {
			notice = {isLeaving: false, pausedUntilMs: Number.NEGATIVE_INFINITY};
			this.#notices.set(key, notice);
			if (this.#notices.size > maxNotices) {
				const [oldest] = this.#notices.keys();
				this.#notices.delete(oldest!);
			}
		}

		return notice;
	}
}

function keyOf({id, born, address}: InstanceProcess): string {
	return `${id}|${born}|${address}`;
}
