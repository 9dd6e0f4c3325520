import {type Configuration} from '../config/configuration.js';
import {parseManifest} from '../config/parse-manifest.js';
import {type Clock} from '../contracts/clock.js';
import {ConfigPull} from '../contracts/config-pull.js';
import {type Store} from '../contracts/store.js';
import {type ConfigKeeper} from '../decisions/config-keeper.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {applyPull} from './apply-pull.js';
import {type Logger} from './logger.js';
import {ManifestHistory} from './manifest-history.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {pause} from './pause.js';
import {type PeerClient} from './peer-client.js';

type ConfigOptions = {
	readonly keeper: ConfigKeeper;
	readonly clock: Clock;
	readonly store: Store;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly members: MembersService;
	readonly peerClient: PeerClient;
};

type Effects = ReturnType<ConfigKeeper['tick']>;

const manifestKey = 'manifest';
const tickMs = 200;
/** Longest wait of one watch, in milliseconds. */
const watchWaitMs = 30_000;
/** Pauses between tries of a store that does not answer, in milliseconds. */
const firstRetryMs = 250;
const longestRetryMs = 5000;

/** Keeps the newest configuration in force: from the store at a region's watchers, from peers elsewhere. */
export class ConfigService {
	readonly #options: ConfigOptions;
	readonly #history = new ManifestHistory();
	readonly #listeners: Array<(cfg: Configuration) => void> = [];
	#current: Configuration | undefined;
	#watch: AbortController | undefined;

	constructor(options: ConfigOptions) {
		this.#options = options;
	}

	/** The configuration in force here; `undefined` until the first arrives. */
	get current(): Configuration | undefined {
		return this.#current;
	}

	/** Calls back with each configuration that comes into force. */
	onChange(listener: (cfg: Configuration) => void): void {
		this.#listeners.push(listener);
		if (this.#current !== undefined) {
			listener(this.#current);
		}
	}

	start(lifecycle: Lifecycle): void {
		const {members, keeper, clock} = this.#options;
		members.onRevision((revision, address) => {
			this.#run(keeper.heard(revision, address, clock.nowMs()));
		});
		lifecycle.every('configuration tick', tickMs, () => {
			this.#run(keeper.tick(clock.nowMs(), members.membership.delegateRank()));
		});
		lifecycle.own('configuration watch', () => {
			this.#watch?.abort();
		});
	}

	/** Answers a peer that has an older configuration. */
	answerPull(haveRevision: number): ConfigPull | undefined {
		return this.#current === undefined ? undefined : this.#history.answer(this.#current, haveRevision);
	}

	#run(effects: Effects): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'pull': {
					void this.#pull(effect.address);
					break;
				}

				case 'read_store': {
					void this.#readStore();
					break;
				}

				case 'watch': {
					this.#setWatching(effect.isWatching);
					break;
				}
			}
		}
	}

	async #pull(address: string): Promise<void> {
		const {peerClient, keeper, clock, logger, metrics} = this.#options;
		metrics.count('config_pulls');
		try {
			const answer = await peerClient.control(address).pull.mutate({haveRevision: keeper.revision});
			const pull = ConfigPull.parse(answer);
			const next = applyPull(pull, this.#current);
			if (next.success) {
				this.#adopt(next.data, address);
				return;
			}

			logger.warn('a peer sent an unusable configuration', {address, err: next.error.message});
		} catch (err) {
			logger.debug('a peer did not send its configuration', {address, err: String(err)});
		}

		this.#run(keeper.failed(address, clock.nowMs()));
	}

	#adopt(next: Configuration, source: string): void {
		const {keeper, logger, members} = this.#options;
		if (!keeper.offer(next.revision)) {
			return;
		}

		if (this.#current !== undefined && next.revision <= this.#current.revision) {
			throw new Error(`revision ${next.revision} would replace ${this.#current.revision}`);
		}

		this.#current = next;
		this.#history.add(next.manifest);
		logger.info('configuration in force', {revision: next.revision, source});
		members.run(members.membership.setRevision(next.revision));
		for (const listener of this.#listeners) {
			listener(next);
		}
	}

	#setWatching(isWatching: boolean): void {
		this.#watch?.abort();
		this.#watch = undefined;
		if (isWatching) {
			this.#watch = new AbortController();
			void this.#watchStore(this.#watch.signal);
		}
	}

	async #watchStore(signal: AbortSignal): Promise<void> {
		let version = 0;
		let retryMs = firstRetryMs;
		while (!signal.aborted) {
			const read = version === 0 ? await this.#options.store.get(manifestKey) : await this.#options.store.watch(manifestKey, version, watchWaitMs, signal);
			if (signal.aborted) {
				return;
			}

			const isUsed = read.success && read.data !== undefined && (read.data.version === version || await this.#take(read.data.value));
			if (isUsed && read.success && read.data !== undefined) {
				version = read.data.version;
				retryMs = firstRetryMs;
				continue;
			}

			if (!read.success) {
				this.#options.logger.debug('the store did not answer', {code: read.error.code, err: read.error.message});
				retryMs = Math.min(longestRetryMs, retryMs * 2);
			}

			await pause(retryMs, signal);
		}
	}

	async #readStore(): Promise<void> {
		const read = await this.#options.store.get(manifestKey);
		if (read.success && read.data !== undefined) {
			await this.#take(read.data.value);
		}
	}

	/** Reads the bodies that a manifest names and adopts it; answers whether the manifest needs no further look. */
	async #take(text: string): Promise<boolean> {
		const {keeper, logger, store} = this.#options;
		const manifest = parseManifest(text);
		if (manifest === undefined) {
			logger.error('the manifest in the store cannot be read; the configuration in force stays');
			return true;
		}

		if (manifest.revision <= keeper.revision) {
			return true;
		}

		const bodies = new Map<string, string>();
		for (const digest of new Set([manifest.deployment, ...Object.values(manifest.services)])) {
			if (this.#current?.bodies.has(digest) !== true) {
				const body = await store.get(`body/${digest}`);
				if (!body.success || body.data === undefined) {
					return false;
				}

				bodies.set(digest, body.data.value);
			}
		}

		const next = applyPull({
			manifest, isPatch: false, services: manifest.services, bodies: Object.fromEntries(bodies),
		}, this.#current);
		if (!next.success) {
			logger.error('the published configuration is unusable; the one in force stays', {revision: manifest.revision, err: next.error.message});
			return true;
		}

		this.#adopt(next.data, 'store');
		return true;
	}
}
