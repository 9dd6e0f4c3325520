import {randomBytes} from 'node:crypto';
import {z} from 'zod';
import {type Clock} from '../contracts/clock.js';
import {type HomeToken} from '../contracts/home-token.js';
import {type Member} from '../contracts/member.js';
import {type Outcome} from '../contracts/outcome.js';
import {OutcomeWire} from '../contracts/outcome-wire.js';
import {type Ledger} from '../decisions/ledger.js';
import {memberKey} from '../decisions/member-key.js';
import {rendezvousOrder} from '../decisions/rendezvous-order.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Job} from './job.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {type PeerClient} from './peer-client.js';
import {ForwardTracker} from './forward-tracker.js';
import {type RouteService} from './route-service.js';
import {tokenWire} from './token-wire.js';

type HomeOptions = {
	readonly ledger: Ledger;
	/** Time for which one token is given to callers before it is replaced, in milliseconds. */
	readonly tokenIssueMs: number;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly members: MembersService;
	readonly peerClient: PeerClient;
	readonly route: RouteService;
};

/** The token that this host gives to callers. */
type CurrentToken = {readonly token: HomeToken; readonly text: string; readonly openedMs: number};

const tickMs = 500;
/** Maximum number of attempts to forward a request to a home that is not known to be dead. */
const maxHomeAttempts = 3;
/** Time limit for the backup's acknowledgement of a record. */
const recordTimeoutMs = 1500;

/**
 * Runs requests with an idempotency key at most once. This host acts as the home of some keys, as the backup of others, and
 * forwards all other keyed requests to their home.
 */
export class HomeService {
	readonly #options: HomeOptions;
	/** Outcomes of the requests that this home is running, by token id and caller's part of the key. */
	readonly #runningByKey = new Map<string, Promise<Outcome>>();
	/** Transfers of outcomes to backups that have not ended. */
	readonly #replicating = new Set<Promise<void>>();
	/** Requests being forwarded to each home; they are aborted, and resolved at the backup, when the home is lost. */
	readonly #forwardTracker = new ForwardTracker();
	#currentToken: CurrentToken | undefined;
	#isOpening = false;

	constructor(options: HomeOptions) {
		this.#options = options;
	}

	/** Token given to callers of this host; `undefined` while no token is open or the host is stopping. */
	get token(): string | undefined {
		const {ledger, clock, members} = this.#options;
		const current = this.#currentToken;
		if (current === undefined || members.membership.isLeaving || !ledger.isOpen(current.token.id, clock.nowMs())) {
			return undefined;
		}

		return current.text;
	}

	/**
	 * Number of keyed requests of this home that have no outcome yet, plus outcomes that are still being sent to the
	 * backup.
	 */
	get unfinished(): number {
		return this.#options.ledger.countUnfinished() + this.#replicating.size;
	}

	start(lifecycle: Lifecycle): void {
		const {members, ledger, clock} = this.#options;
		lifecycle.every('home tokens', tickMs, () => {
			ledger.tick(clock.nowMs());
			void this.#renewToken();
		});
		members.onChange(() => {
			this.#sealTokensWithSuspectedBackup();
			this.#forwardTracker.abortLost(key => members.membership.statusOf(key) === 'dead');
		});
	}

	/** Runs a keyed request at its home, whether that is this host or another. */
	async run(job: Job): Promise<Outcome> {
		const key = tokenWire.parseKey(job.head.key ?? '');
		if (key === undefined) {
			return {
				kind: 'not-run', reason: 'key_invalid', detail: 'the idempotency key must be the token of a lookup response, a dot and a part of 1 to 64 letters, digits, "-" or "_"', retryAfterMs: 0,
			};
		}

		return key.token.home === this.#selfKey() ? this.runAsHome(job) : this.#forwardToHome(job, key.token, key.part);
	}

	/** Runs a keyed request whose home is this process. */
	async runAsHome(job: Job): Promise<Outcome> {
		const {ledger, clock, members} = this.#options;
		const key = tokenWire.parseKey(job.head.key ?? '');
		if (key?.token.home !== this.#selfKey()) {
			return {kind: 'unknown', reason: 'home_restarted', detail: 'the home process of the key no longer exists'};
		}

		const {token, part} = key;
		const isKeyKnown = ledger.attemptOf(token.id, part) !== undefined;
		if (!isKeyKnown && !members.isConfident()) {
			return {
				kind: 'not-run', reason: 'paused', detail: 'this host was paused and has not yet confirmed that it may still run keyed requests', retryAfterMs: 200,
			};
		}

		const decision = ledger.begin(token.id, part, job.head.fingerprint, clock.nowMs());
		switch (decision.kind) {
			case 'outcome': {
				return decision.outcome;
			}

			case 'join': {
				return this.#awaitRunning(job, token.id, part);
			}

			case 'record': {
				const running = this.#recordAndRun(job, token, part, decision.attempt);
				const id = `${token.id}.${part}`;
				this.#runningByKey.set(id, running);
				const outcome = await running;
				this.#runningByKey.delete(id);
				return outcome;
			}
		}
	}

	/** As backup: opens a token of another home. Returns whether the token was opened. */
	openAsBackup(token: HomeToken): boolean {
		const {ledger, clock, members} = this.#options;
		const isReady = token.backup === this.#selfKey() && !members.membership.isLeaving;
		return isReady && ledger.open(token, 'backup', clock.nowMs());
	}

	/** As backup: records an attempt before it starts. Returns whether it was recorded. */
	recordAsBackup(tokenId: string, part: string, attempt: number, fingerprint: string): boolean {
		return this.#options.ledger.record(tokenId, part, attempt, fingerprint);
	}

	/** As backup: stores the outcome of an attempt. */
	recordOutcomeAsBackup(tokenId: string, part: string, attempt: number, outcome: Outcome): void {
		this.#options.ledger.recordOutcome(tokenId, part, attempt, outcome);
	}

	/** As backup: seals the token of a lost home and returns the outcome of the key. */
	resolveAsBackup(tokenId: string, part: string): Outcome {
		this.#options.metrics.count('keys_resolved_by_backup');
		return this.#options.ledger.resolve(tokenId, part);
	}

	async #awaitRunning(job: Job, tokenId: string, part: string): Promise<Outcome> {
		const running = this.#runningByKey.get(`${tokenId}.${part}`);
		if (running === undefined) {
			throw new Error(`expected key ${tokenId}.${part} to be running in this process`);
		}

		const remainingMs = Math.max(1, job.deadlineMs - this.#options.clock.nowMs());
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<Outcome>(resolve => {
			timer = setTimeout(() => {
				resolve({kind: 'unknown', reason: 'answer_overdue', detail: 'an earlier request with the same key is still running'});
			}, remainingMs);
		});
		const outcome = await Promise.race([running, timeout]);
		clearTimeout(timer);
		return outcome.kind === 'whole' ? {...outcome, isReplay: true} : outcome;
	}

	/**
	 * Runs the request after the backup has acknowledged its record. The request is not cancelled when its caller disconnects,
	 * because others may request the outcome of the same key.
	 */
	async #recordAndRun(job: Job, token: HomeToken, part: string, attempt: number): Promise<Outcome> {
		const {ledger, route, metrics, clock} = this.#options;
		const startMs = clock.nowMs();
		const isRecorded = await this.#recordAtBackup(token, part, attempt, job.head.fingerprint);
		metrics.observe('record_seconds', {}, clock.nowMs() - startMs);
		if (!isRecorded || !ledger.confirm(token.id, part, attempt)) {
			metrics.count('records_refused');
			const refusal = ledger.abandon(token.id, part);
			void this.#renewToken();
			return refusal;
		}

		const outcome = await route.route({...job, signal: new AbortController().signal});
		ledger.finish(token.id, part, outcome);
		this.#replicate(token, part, attempt, outcome);
		return outcome;
	}

	async #recordAtBackup(token: HomeToken, part: string, attempt: number, fingerprint: string): Promise<boolean> {
		try {
			const response = await this.#options.peerClient.control(token.backupAddress).record.mutate({
				tokenId: token.id, part, attempt, fingerprint,
			}, {signal: AbortSignal.timeout(recordTimeoutMs)});
			return response.isRecorded;
		} catch {
			return false;
		}
	}

	#replicate(token: HomeToken, part: string, attempt: number, outcome: Outcome): void {
		const send = async () => {
			try {
				await this.#options.peerClient.control(token.backupAddress).outcome.mutate({
					tokenId: token.id, part, attempt, outcome: z.encode(OutcomeWire, outcome),
				});
			} catch {
				this.#options.metrics.count('outcomes_not_replicated');
			}
		};

		const sending = send();
		this.#replicating.add(sending);
		void sending.finally(() => this.#replicating.delete(sending));
	}

	async #forwardToHome(job: Job, token: HomeToken, part: string): Promise<Outcome> {
		const {members, clock, peerClient} = this.#options;
		for (let attempts = 0; attempts < maxHomeAttempts; attempts++) {
			const status = members.membership.statusOf(token.home);
			const isKnown = members.isDaemonAddress(token.homeAddress);
			if (!isKnown || status === 'dead' || job.signal.aborted || clock.nowMs() >= job.deadlineMs) {
				break;
			}

			const tracked = this.#forwardTracker.track(token.home, job.signal);
			const remainingMs = job.deadlineMs - clock.nowMs();
			const result = await peerClient.forward({address: token.homeAddress, role: 'home'}, {...job.head, remainingMs}, job.body, tracked.signal);
			tracked.end();
			if (result.kind === 'outcome' && !isFromOtherProcess(result.outcome)) {
				return result.outcome;
			}

			if (result.kind !== 'lost') {
				break;
			}
		}

		if (job.signal.aborted) {
			return {kind: 'unknown', reason: 'cancelled', detail: 'the caller closed the connection'};
		}

		return this.#resolveAtBackup(token, part);
	}

	/** Requests the outcome from the backup, which seals the token first, because the home is unreachable. */
	async #resolveAtBackup(token: HomeToken, part: string): Promise<Outcome> {
		if (token.backup === this.#selfKey()) {
			return this.resolveAsBackup(token.id, part);
		}

		if (!this.#options.members.isDaemonAddress(token.backupAddress)) {
			return {kind: 'unknown', reason: 'host_lost', detail: 'no outcome from the home of the key, and no daemon is known at the address of its backup'};
		}

		try {
			const response = await this.#options.peerClient.control(token.backupAddress).resolve.mutate({tokenId: token.id, backup: token.backup, part});
			return z.decode(OutcomeWire, response);
		} catch {
			return {kind: 'unknown', reason: 'host_lost', detail: 'no outcome from the home of the key, and its backup is unreachable'};
		}
	}

	#sealTokensWithSuspectedBackup(): void {
		const {members, ledger} = this.#options;
		for (const update of members.membership.updates()) {
			if (update.status !== 'alive') {
				ledger.sealTokensWithBackup(memberKey(update.member));
			}
		}

		const current = this.#currentToken;
		const isSealed = current !== undefined && !ledger.isOpen(current.token.id, this.#options.clock.nowMs());
		if (isSealed || (current !== undefined && members.membership.isMemberLeaving(current.token.backup))) {
			this.#currentToken = undefined;
			void this.#renewToken();
		}
	}

	/** Opens a new token if the current one is old, sealed or missing. */
	async #renewToken(): Promise<void> {
		const {ledger, clock, members, tokenIssueMs, peerClient, logger} = this.#options;
		const current = this.#currentToken;
		const isFresh = current !== undefined && ledger.isOpen(current.token.id, clock.nowMs()) && clock.nowMs() - current.openedMs < tokenIssueMs;
		const backup = this.#chooseBackup();
		if (isFresh || this.#isOpening || members.membership.isLeaving || backup === undefined) {
			return;
		}

		this.#isOpening = true;
		const token: HomeToken = {
			id: randomBytes(9).toString('base64url'),
			home: this.#selfKey(),
			homeAddress: members.membership.self.peers,
			backup: memberKey(backup),
			backupAddress: backup.peers,
		};
		try {
			const response = await peerClient.control(backup.peers).open.mutate(token);
			if (response.isOpen && ledger.open(token, 'home', clock.nowMs())) {
				this.#currentToken = {token, text: tokenWire.encode(token), openedMs: clock.nowMs()};
			}
		} catch (err) {
			logger.debug('the backup did not open the token; this host has no new token for callers', {backup: token.backup, err: String(err)});
		} finally {
			this.#isOpening = false;
		}
	}

	/** Returns a backup in another zone of this region if there is one, else in the same zone, else in another region. */
	#chooseBackup(): Member | undefined {
		const {membership} = this.#options.members;
		const others = membership.candidates().filter(member => !this.#options.members.isSelf(member));
		const inOtherZones = others.filter(member => member.zone !== membership.self.zone);
		const inOtherRegions = membership.otherRegions().flatMap(region => membership.hostsOf(region));
		const candidates = [inOtherZones, others, inOtherRegions].find(list => list.length > 0) ?? [];
		return rendezvousOrder(`backup ${this.#selfKey()}`, candidates, memberKey)[0];
	}

	#selfKey(): string {
		return memberKey(this.#options.members.membership.self);
	}
}

/** Whether the outcome comes from a later process at the home's address, which has no record of the key. */
function isFromOtherProcess(outcome: Outcome): boolean {
	return outcome.kind === 'unknown' && outcome.reason === 'home_restarted';
}
