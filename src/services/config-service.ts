import {type Configuration} from '../config/configuration.js';
import {parseManifest} from '../config/parse-manifest.js';
import {type Clock} from '../contracts/clock.js';
import {ConfigPull} from '../contracts/config-pull.js';
import {type Store} from '../contracts/store.js';
import {type RevisionTracker} from '../decisions/revision-tracker.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {applyPull} from './apply-pull.js';
import {type Logger} from './logger.js';
import {ManifestHistory} from './manifest-history.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {pause} from './pause.js';
import {type PeerClient} from './peer-client.js';

type ConfigOptions = {
	readonly revisionTracker: RevisionTracker;
	readonly clock: Clock;
	readonly store: Store;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly members: MembersService;
	readonly peerClient: PeerClient;
};

type RevisionTrackerEffects = ReturnType<RevisionTracker['tick']>;

const manifestKey = 'manifest';
const tickMs = 200;
/** Maximum duration of one long poll of the store. */
const maxWatchMs = 30_000;
/** Bounds of the exponential backoff between reads of a store that does not respond. */
const initialBackoffMs = 250;
const maxBackoffMs = 5000;

/**
 * Keeps the newest configuration in force. The members of a region that watch the store read it there; all other members
 * pull it from peers.
 */
export class ConfigService {
	readonly #options: ConfigOptions;
	readonly #history = new ManifestHistory();
	readonly #listeners: Array<(cfg: Configuration) => void> = [];
	#current: Configuration | undefined;
	#watch: AbortController | undefined;

	constructor(options: ConfigOptions) {
		this.#options = options;
	}

	/** Configuration in force on this host; `undefined` until the first one has been received. */
	get current(): Configuration | undefined {
		return this.#current;
	}

	/** Registers a listener that is called with the configuration in force, if any, and with each one that replaces it. */
	onChange(listener: (cfg: Configuration) => void): void {
		this.#listeners.push(listener);
		if (this.#current !== undefined) {
			listener(this.#current);
		}
	}

	start(lifecycle: Lifecycle): void {
		const {members, revisionTracker, clock} = this.#options;
		members.onRevision((version, address) => {
			this.#runEffects(revisionTracker.recordVersion(version, address, clock.nowMs()));
		});
		members.onStoreContact((version, rank) => {
			this.#runEffects(revisionTracker.recordReportedContact(version, rank, clock.nowMs()));
		});
		lifecycle.every('configuration tick', tickMs, () => {
			this.#runEffects(revisionTracker.tick(clock.nowMs(), members.membership.delegateRank()));
		});
		lifecycle.addCleanup('configuration watch', () => {
			this.#watch?.abort();
		});
	}

	/** Returns the changes since `haveRevision` for a peer; `undefined` if this host has no configuration yet. */
	changesSince(haveRevision: number): ConfigPull | undefined {
		return this.#current === undefined ? undefined : this.#history.changesSince(this.#current, haveRevision);
	}

	#runEffects(effects: RevisionTrackerEffects): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'pull':
				case 'pull_unordered': {
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

				case 'probe_store': {
					void this.#probeStore();
					break;
				}

				case 'report_contact':
				case 'report_answer': {
					this.#options.members.run(this.#options.members.membership.reportStoreContact());
					break;
				}
			}
		}
	}

	async #pull(address: string): Promise<void> {
		const {peerClient, revisionTracker, clock, logger, metrics} = this.#options;
		metrics.count('config_pulls');
		try {
			const response = await peerClient.control(address, () => {
				revisionTracker.recordPullProgress(address, clock.nowMs());
			}).pull.mutate({haveRevision: revisionTracker.revision});
			const pull = ConfigPull.parse(response);
			const next = applyPull(pull, this.#current);
			if (next.success) {
				this.#adopt(next.data, address);
				return;
			}

			logger.warn('a peer sent an invalid configuration; it is ignored', {address, err: next.error.message});
		} catch (err) {
			logger.debug('pulling the configuration from a peer failed', {address, err: String(err)});
		}

		this.#runEffects(revisionTracker.recordPullFailure(address, clock.nowMs()));
	}

	#adopt(next: Configuration, source: string): void {
		const {revisionTracker, logger, members} = this.#options;
		// The revision of a manifest is the publisher's own count, which has no eras.
		const version = {era: 0, revision: next.revision};
		if (!revisionTracker.adopt(version)) {
			return;
		}

		if (this.#current !== undefined && next.revision <= this.#current.revision) {
			throw new Error(`got revision ${next.revision}, expected one above ${this.#current.revision}`);
		}

		this.#current = next;
		this.#history.add(next.manifest);
		logger.info('configuration in force', {revision: next.revision, source});
		members.run(members.membership.setVersion(version, revisionTracker.isWatching));
		for (const listener of this.#listeners) {
			listener(next);
		}
	}

	#setWatching(isWatching: boolean): void {
		const {revisionTracker, logger, metrics} = this.#options;
		this.#watch?.abort();
		this.#watch = undefined;
		if (isWatching) {
			if (revisionTracker.isSubstitute) {
				metrics.count('store_watch_substitutions');
				logger.info('no watcher of the region reports contact to the store; this host watches it too', {revision: revisionTracker.revision});
			}

			this.#watch = new AbortController();
			void this.#watchStore(this.#watch.signal);
		}
	}

	async #watchStore(signal: AbortSignal): Promise<void> {
		let version = 0;
		let backoffMs = initialBackoffMs;
		while (!signal.aborted) {
			const read = version === 0 ? await this.#options.store.get(manifestKey) : await this.#options.store.watch(manifestKey, version, maxWatchMs, signal);
			if (signal.aborted) {
				return;
			}

			const isProcessed = read.success && read.data !== undefined && (read.data.version === version || await this.#processManifest(read.data.value));
			if (isProcessed && read.success && read.data !== undefined) {
				version = read.data.version;
				backoffMs = initialBackoffMs;
				continue;
			}

			if (!read.success) {
				this.#options.logger.debug('reading the manifest from the store failed; it is retried', {code: read.error.code, err: read.error.message});
				backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
			}

			await pause(backoffMs, signal);
		}
	}

	async #probeStore(): Promise<void> {
		const {revisionTracker, clock} = this.#options;
		if (await this.#readStore()) {
			this.#runEffects(revisionTracker.recordProbeAnswer(0, clock.nowMs()));
		}
	}

	/** Reads the manifest once; returns whether the store answered. */
	async #readStore(): Promise<boolean> {
		const {store, logger} = this.#options;
		const read = await store.get(manifestKey);
		if (!read.success) {
			logger.debug('reading the manifest from the store failed', {code: read.error.code, err: read.error.message});
			return false;
		}

		if (read.data !== undefined) {
			await this.#processManifest(read.data.value);
		}

		return true;
	}

	/**
	 * Parses a manifest, reads the bodies that it names and puts the configuration into force. Returns `false` if a body could not
	 * be read, so that the manifest has to be processed again; manifests that are old or invalid count as processed.
	 */
	async #processManifest(text: string): Promise<boolean> {
		const {revisionTracker, logger, store} = this.#options;
		const manifest = parseManifest(text);
		if (manifest === undefined) {
			logger.error('the manifest in the store cannot be parsed; keeping the configuration in force');
			return true;
		}

		if (manifest.revision <= revisionTracker.revision) {
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
			logger.error('the published configuration is invalid; keeping the one in force', {revision: manifest.revision, err: next.error.message});
			return true;
		}

		this.#adopt(next.data, 'store');
		return true;
	}
}
