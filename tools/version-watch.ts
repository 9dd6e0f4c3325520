import {setTimeout as delay} from 'node:timers/promises';
import {OperatorClient} from '../src/cli/operator-client.js';
import {type PlatformFleet} from './platform-fleet.js';

const intervalMs = 100;

/** Watches the version of the routes at each host of a fleet, which never goes back in one process life. */
export class VersionWatch {
	/** Times that a version went back. */
	reverts = 0;
	readonly #fleet: PlatformFleet;
	/** Highest version by process life. */
	readonly #seen = new Map<string, number>();
	readonly #watching: Promise<void>;
	#isClosed = false;

	constructor(fleet: PlatformFleet) {
		this.#fleet = fleet;
		this.#watching = this.#watch();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		await this.#watching;
	}

	/** Hosts that do not have a version in force now. */
	async countBehind(version: number): Promise<number> {
		const hosts = await this.#ask();
		return this.#fleet.hosts.length - hosts.filter(host => host.revision === version).length;
	}

	async #watch(): Promise<void> {
		while (!this.#isClosed) {
			for (const {id, boot, revision} of await this.#ask()) {
				const life = `${id}/${boot}`;
				const before = this.#seen.get(life) ?? 0;
				this.reverts += revision < before ? 1 : 0;
				this.#seen.set(life, Math.max(before, revision));
			}

			await delay(intervalMs);
		}
	}

	/** States of the hosts that answer; one that is down or frozen is asked again later. */
	async #ask() {
		const answers = await Promise.all(this.#fleet.hosts.map(async ({id}) => new OperatorClient(this.#fleet.operators(id)).status('host')));
		return answers.flatMap(answer => (answer.success ? answer.data.hosts : []));
	}
}
