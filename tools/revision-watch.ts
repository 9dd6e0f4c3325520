import {type HostStatus} from '../src/contracts/host-status.js';

/** Hosts and a way to read their status; `undefined` for a host that does not respond. */
type WatchedFleet = {readonly hosts: ReadonlyArray<{readonly id: string}>; readonly status: (id: string) => Promise<HostStatus | undefined>};

const pollMs = 500;

/** Polls the revision in force at each process of each daemon and counts the readings below an earlier one of the same process. */
export class RevisionWatch {
	reverts = 0;
	highestRevision = 0;
	readonly #highestByProcess = new Map<string, number>();
	readonly #fleet: WatchedFleet;
	readonly #timer: NodeJS.Timeout;

	constructor(fleet: WatchedFleet) {
		this.#fleet = fleet;
		this.#timer = setInterval(() => {
			void this.#poll();
		}, pollMs);
	}

	close(): void {
		clearInterval(this.#timer);
	}

	async #poll(): Promise<void> {
		await Promise.all(this.#fleet.hosts.map(async host => {
			const status = await this.#fleet.status(host.id);
			if (status === undefined) {
				return;
			}

			const processKey = `${status.id}/${status.boot}`;
			const highestBefore = this.#highestByProcess.get(processKey) ?? 0;
			this.reverts += status.revision < highestBefore ? 1 : 0;
			this.highestRevision = Math.max(this.highestRevision, status.revision);
			this.#highestByProcess.set(processKey, Math.max(highestBefore, status.revision));
		}));
	}
}
