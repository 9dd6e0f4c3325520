import {type HostStatus} from '../src/contracts/host-status.js';

/** Hosts whose state can be asked for; `undefined` when one does not answer. */
type WatchedFleet = {readonly hosts: ReadonlyArray<{readonly id: string}>; readonly status: (id: string) => Promise<HostStatus | undefined>};

const pollMs = 500;

/** Watches the revision in force at each life of each daemon; counts those that fall. */
export class RevisionWatch {
	reverts = 0;
	highest = 0;
	readonly #seen = new Map<string, number>();
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

			const life = `${status.id}/${status.boot}`;
			const before = this.#seen.get(life) ?? 0;
			this.reverts += status.revision < before ? 1 : 0;
			this.highest = Math.max(this.highest, status.revision);
			this.#seen.set(life, Math.max(before, status.revision));
		}));
	}
}
