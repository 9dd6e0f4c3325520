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
import {PeerWaits} from './peer-waits.js';
import {type RouteService} from './route-service.js';
import {tokenWire} from './token-wire.js';

type HomeOptions = {
	readonly ledger: Ledger;
	/** Time for which one token is handed out, in milliseconds. */
	readonly tokenMs: number;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly members: MembersService;
	readonly peerClient: PeerClient;
	readonly route: RouteService;
};

type Current = {readonly token: HomeToken; readonly text: string; readonly openedMs: number};

const tickMs = 500;
/** Tries to reach a home that is thought alive. */
const homeTries = 3;
/** Time allowed for the backup's acknowledgement of a record, in milliseconds. */
const recordTimeoutMs = 1500;

/** Runs requests that may not be repeated at most once: as their home, as the home's backup, or on the way there. */
export class HomeService {
	readonly #options: HomeOptions;
	readonly #joined = new Map<string, Promise<Outcome>>();
	readonly #replicating = new Set<Promise<void>>();
	/** Requests on their way to each home, to be taken to the backup when the home is lost. */
	readonly #waits = new PeerWaits();
	#current: Current | undefined;
	#isOpening = false;

	constructor(options: HomeOptions) {
		this.#options = options;
	}

	/** Token for callers of this host; `undefined` while there is none. */
	get token(): string | undefined {
		const {ledger, clock, members} = this.#options;
		const current = this.#current;
		if (current === undefined || members.membership.isLeaving || !ledger.isOpen(current.token.id, clock.nowMs())) {
			return undefined;
		}

		return current.text;
	}

	/** Keyed requests of this home that have no outcome yet, and outcomes that the backup does not have yet. */
	get unfinished(): number {
		return this.#options.ledger.unfinished() + this.#replicating.size;
	}

	start(lifecycle: Lifecycle): void {
		const {members, ledger, clock} = this.#options;
		lifecycle.every('home tokens', tickMs, () => {
			ledger.tick(clock.nowMs());
			void this.#renewToken();
		});
		members.onChange(() => {
			this.#sealLostBackups();
			this.#waits.abandon(key => members.membership.statusOf(key) === 'dead');
		});
	}

	/** Runs a keyed request, wherever its home is. */
	async run(job: Job): Promise<Outcome> {
		const key = tokenWire.parseKey(job.work.key ?? '');
		if (key === undefined) {
			return {
				kind: 'not-run', reason: 'key_invalid', detail: 'the idempotency key is not a token of a look-up answer, a dot and a part of 1 to 64 letters, digits, "-" or "_"', retryAfterMs: 0,
			};
		}

		return key.token.home === this.#selfKey() ? this.runHere(job) : this.#runAtHome(job, key.token, key.part);
	}

	/** Runs a keyed request whose home is this host. */
	async runHere(job: Job): Promise<Outcome> {
		const {ledger, clock, members} = this.#options;
		const key = tokenWire.parseKey(job.work.key ?? '');
		if (key?.token.home !== this.#selfKey()) {
			return {kind: 'unknown', reason: 'home_restarted', detail: 'the home of the key lives no longer'};
		}

		const {token, part} = key;
		const isHeld = ledger.attemptOf(token.id, part) !== undefined;
		if (!isHeld && !members.isConfident()) {
			return {
				kind: 'not-run', reason: 'paused', detail: 'this host was paused and is finding out what it still owns', retryAfterMs: 200,
			};
		}

		const answer = ledger.begin(token.id, part, job.work.fingerprint, clock.nowMs());
		switch (answer.kind) {
			case 'outcome': {
				return answer.outcome;
			}

			case 'join': {
				return this.#join(job, token.id, part);
			}

			case 'record': {
				const running = this.#recordAndRun(job, token, part, answer.attempt);
				const id = `${token.id}.${part}`;
				this.#joined.set(id, running);
				const outcome = await running;
				this.#joined.delete(id);
				return outcome;
			}
		}
	}

	/** As backup: takes on a token of another host. */
	openAsBackup(token: HomeToken): boolean {
		const {ledger, clock, members} = this.#options;
		const isReady = token.backup === this.#selfKey() && !members.membership.isLeaving;
		return isReady && ledger.open(token, 'backup', clock.nowMs());
	}

	/** As backup: records an attempt before it starts. */
	record(tokenId: string, part: string, attempt: number, fingerprint: string): boolean {
		return this.#options.ledger.record(tokenId, part, attempt, fingerprint);
	}

	/** As backup: keeps an outcome. */
	recordOutcome(tokenId: string, part: string, attempt: number, outcome: Outcome): void {
		this.#options.ledger.recordOutcome(tokenId, part, attempt, outcome);
	}

	/** As backup: answers for a home that is lost. */
	resolve(tokenId: string, part: string): Outcome {
		this.#options.metrics.count('keys_resolved_by_backup');
		return this.#options.ledger.resolve(tokenId, part);
	}

	async #join(job: Job, tokenId: string, part: string): Promise<Outcome> {
		const running = this.#joined.get(`${tokenId}.${part}`);
		if (running === undefined) {
			throw new Error(`key ${tokenId}.${part} is under way without anyone running it`);
		}

		const remainingMs = Math.max(1, job.deadlineMs - this.#options.clock.nowMs());
		let timer: NodeJS.Timeout | undefined;
		const late = new Promise<Outcome>(resolve => {
			timer = setTimeout(() => {
				resolve({kind: 'unknown', reason: 'answer_overdue', detail: 'an earlier copy of the request is still running'});
			}, remainingMs);
		});
		const outcome = await Promise.race([running, late]);
		clearTimeout(timer);
		return outcome.kind === 'whole' ? {...outcome, isReplay: true} : outcome;
	}

	/** Runs the request once the backup has its record. A caller who leaves does not stop it: others may ask for its outcome. */
	async #recordAndRun(job: Job, token: HomeToken, part: string, attempt: number): Promise<Outcome> {
		const {ledger, route, metrics, clock} = this.#options;
		const startMs = clock.nowMs();
		const isRecorded = await this.#recordAtBackup(token, part, attempt, job.work.fingerprint);
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
			const answer = await this.#options.peerClient.control(token.backupAddress).record.mutate({
				tokenId: token.id, part, attempt, fingerprint,
			}, {signal: AbortSignal.timeout(recordTimeoutMs)});
			return answer.isRecorded;
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

	async #runAtHome(job: Job, token: HomeToken, part: string): Promise<Outcome> {
		const {members, clock, peerClient} = this.#options;
		for (let tries = 0; tries < homeTries; tries++) {
			const status = members.membership.statusOf(token.home);
			const isKnown = members.isDaemonAddress(token.homeAddress);
			if (!isKnown || status === 'dead' || job.signal.aborted || clock.nowMs() >= job.deadlineMs) {
				break;
			}

			const wait = this.#waits.begin(token.home, job.signal);
			const remainingMs = job.deadlineMs - clock.nowMs();
			const result = await peerClient.forward({address: token.homeAddress, role: 'home'}, {...job.work, remainingMs}, job.body, wait.signal);
			wait.stop();
			if (result.kind === 'outcome' && !isForeignLife(result.outcome)) {
				return result.outcome;
			}

			if (result.kind !== 'lost') {
				break;
			}
		}

		if (job.signal.aborted) {
			return {kind: 'unknown', reason: 'cancelled', detail: 'the caller left'};
		}

		return this.#askBackup(token, part);
	}

	/** The home is out of reach: its backup seals the token and answers for it. */
	async #askBackup(token: HomeToken, part: string): Promise<Outcome> {
		if (token.backup === this.#selfKey()) {
			return this.resolve(token.id, part);
		}

		if (!this.#options.members.isDaemonAddress(token.backupAddress)) {
			return {kind: 'unknown', reason: 'host_lost', detail: 'neither the home of the key nor its backup is known here'};
		}

		try {
			const answer = await this.#options.peerClient.control(token.backupAddress).resolve.mutate({tokenId: token.id, backup: token.backup, part});
			return z.decode(OutcomeWire, answer);
		} catch {
			return {kind: 'unknown', reason: 'host_lost', detail: 'neither the home of the key nor its backup can be reached'};
		}
	}

	#sealLostBackups(): void {
		const {members, ledger} = this.#options;
		for (const update of members.membership.updates()) {
			if (update.status !== 'alive') {
				ledger.sealPartner(memberKey(update.member));
			}
		}

		const current = this.#current;
		const isSealed = current !== undefined && !ledger.isOpen(current.token.id, this.#options.clock.nowMs());
		if (isSealed || (current !== undefined && members.membership.isMemberLeaving(current.token.backup))) {
			this.#current = undefined;
			void this.#renewToken();
		}
	}

	/** Opens a token with a backup in another zone when the current one is old, sealed or missing. */
	async #renewToken(): Promise<void> {
		const {ledger, clock, members, tokenMs, peerClient, logger} = this.#options;
		const current = this.#current;
		const isFresh = current !== undefined && ledger.isOpen(current.token.id, clock.nowMs()) && clock.nowMs() - current.openedMs < tokenMs;
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
			const answer = await peerClient.control(backup.peers).open.mutate(token);
			if (answer.isOpen && ledger.open(token, 'home', clock.nowMs())) {
				this.#current = {token, text: tokenWire.encode(token), openedMs: clock.nowMs()};
			}
		} catch (err) {
			logger.debug('no backup took the token on', {backup: token.backup, err: String(err)});
		} finally {
			this.#isOpening = false;
		}
	}

	#chooseBackup(): Member | undefined {
		const {membership} = this.#options.members;
		const others = membership.staying().filter(member => !this.#options.members.isSelf(member));
		const elsewhere = others.filter(member => member.zone !== membership.self.zone);
		const abroad = membership.otherRegions().flatMap(region => membership.hostsOf(region));
		const candidates = [elsewhere, others, abroad].find(list => list.length > 0) ?? [];
		return rendezvousOrder(`backup ${this.#selfKey()}`, candidates, memberKey)[0];
	}

	#selfKey(): string {
		return memberKey(this.#options.members.membership.self);
	}
}

/** Whether the process at the home's address is a later life that knows nothing of the key. */
function isForeignLife(outcome: Outcome): boolean {
	return outcome.kind === 'unknown' && outcome.reason === 'home_restarted';
}
