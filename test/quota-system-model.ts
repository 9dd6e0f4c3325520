import {type Account} from '../src/contracts/account.js';
import {type QuotaAsk} from '../src/contracts/quota-ask.js';
import {QuotaShare} from '../src/decisions/quota-share.js';
import {QuotaSlots} from '../src/decisions/quota-slots.js';

type Quota = NonNullable<Account['quota']>;
type Token = NonNullable<ReturnType<QuotaShare['take']>>;
type Process = {share: QuotaShare; slots: QuotaSlots; quota: Quota | undefined; leaseId: number | undefined; loans: Array<{readonly lender: number; readonly loanId: number}>};
type Entry = {readonly host: string; readonly revision: number; readonly leaseId: number};

/** What happens to one call to a peer. */
type CallFate = {
	readonly thereMs: number;
	readonly backMs: number;
	readonly fate: 'ok' | 'request_lost' | 'response_lost' | 'request_repeated' | 'response_repeated';
};

const leaseMs = 600_000;
const slotCount = 16;

/** Hosts with quotas, the store that they claim slots in, and the calls between them, in virtual time. Faults are those that the caller asks for. */
export class QuotaSystemModel {
	static readonly bounds = {quotaWindowMs: 5000, quotaOverage: 0.1, quotaTolerance: 20};
	/** Times at which requests ran. */
	readonly runs: number[] = [];
	/** Quotas that hosts came to know, with the time from which and to which any host knew them. */
	readonly known: Array<{readonly quota: Quota; readonly fromMs: number; toMs: number}> = [];
	readonly #names: readonly string[];
	readonly #processes: Process[] = [];
	readonly #isCutOff: boolean[] = [];
	readonly #listed: Set<string>;
	readonly #views = new Map<string, ReadonlyMap<number, Entry>>();
	readonly #entries = new Map<number, Entry>();
	readonly #leases = new Map<number, number>();
	readonly #events: Array<{readonly timeMs: number; readonly run: () => void}> = [];
	readonly #unused: Array<{readonly process: Process; readonly token: Token}> = [];
	#nowMs = 1000;
	#revision = 0;

	constructor(hosts: number) {
		this.#names = Array.from({length: hosts}, (_, index) => `h${index}`);
		this.#listed = new Set(this.#names);
		for (const index of this.#names.keys()) {
			this.restart(index);
		}
	}

	/** Kills a host's process and starts another one. */
	restart(host: number): void {
		const index = host % this.#names.length;
		const previous = this.#processes[index];
		this.#forget(previous);
		this.#processes[index] = {
			share: new QuotaShare({bounds: QuotaSystemModel.bounds, slots: slotCount}),
			slots: new QuotaSlots({self: this.#names[index]!, slots: slotCount, rateLoanMs: QuotaShare.rateLoanMs}),
			quota: undefined,
			leaseId: undefined,
			loans: [],
		};
		this.learn(index, previous?.quota);
	}

	/** Makes a host know a quota. */
	learn(host: number, quota: Quota | undefined): void {
		const process = this.#process(host);
		this.#forget(process);
		process.quota = quota;
		if (quota !== undefined) {
			this.known.push({quota, fromMs: this.#nowMs, toMs: Number.POSITIVE_INFINITY});
		}

		process.share.setAccounts([{
			name: 'a', priority: undefined, allowedRegions: [], quota,
		}], this.#nowMs);
	}

	/** Takes tokens for requests, which run `runMs` later; some are not run, and their tokens are given back later. */
	request(host: number, count: number, runMs: number, isRun: boolean): void {
		const process = this.#process(host);
		for (let index = 0; index < count; index++) {
			process.share.recordRequest('a', this.#nowMs);
			// A host that was short would lend nothing for a while.
			const token = process.share.describe('a', this.#nowMs).tokens < 1 ? undefined : process.share.take('a', this.#nowMs);
			if (token === undefined) {
				return;
			}

			if (isRun) {
				this.runs.push(this.#nowMs + runMs);
			} else {
				this.#unused.push({process, token});
			}
		}
	}

	/** Gives the tokens of requests that did not run back. */
	giveBack(): void {
		for (const {process, token} of this.#unused.splice(0)) {
			process.share.giveBack(token, this.#nowMs);
		}
	}

	/** Calls a peer; an ask for nothing renews the latest rate that this host borrowed of the peer. */
	borrow(from: number, to: number, ask: {readonly tokens: number; readonly ratePerSecond: number; readonly hasShare: boolean}, how: CallFate): void {
		const loan = this.#process(from).loans.at(-1);
		const lender = to % this.#names.length;
		this.#call(from, lender, [{account: 'a', ...ask, ...(ask.tokens === 0 && loan?.lender === lender && {renews: loan.loanId})}], how);
	}

	/** Makes the calls that a host would make now: it borrows, renews, or gives back what it did not use. */
	callPeers(from: number, how: CallFate): void {
		const holders = this.#names.map((id, index) => ({id, slots: slotCount, isNear: index % 2 === 0})).filter(holder => holder.id !== this.#names[from % this.#names.length]);
		for (const [peer, asks] of this.#process(from).share.plan(holders, new Map(), this.#nowMs)) {
			this.#call(from, this.#names.indexOf(peer), asks, how);
		}
	}

	setCutOff(host: number, isCutOff: boolean): void {
		this.#isCutOff[host % this.#names.length] = isCutOff;
	}

	/** Adds a host to the list of hosts in the store, or removes it. */
	setListed(host: number, isListed: boolean): void {
		const name = this.#names[host % this.#names.length]!;
		if (isListed) {
			this.#listed.add(name);
		} else {
			this.#listed.delete(name);
		}
	}

	/** Lets all hosts that reach the store renew their leases, see its entries, and claim and give away slots, for some seconds. */
	settle(seconds: number): void {
		for (let round = 0; round < seconds * 10; round++) {
			for (const host of this.#names.keys()) {
				if (round % 100 === 0) {
					this.renewLease(host, false);
				}

				this.refreshView(host);
				if (this.#listed.has(this.#names[host]!)) {
					this.planSlots(host, false);
				}
			}

			this.advance(100);
		}
	}

	/** Lets all hosts use all that they have, for some time. */
	useAll(ms: number): void {
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
			for (const host of this.#names.keys()) {
				this.request(host, 2000, 0, true);
			}

			this.advance(50);
		}
	}

	/** Lets a host see the store's entries as they are now. */
	refreshView(host: number): void {
		if (!this.#isCutOff[host % this.#names.length]) {
			this.#views.set(this.#names[host % this.#names.length]!, new Map(this.#entries));
		}
	}

	/** Opens or renews a host's lease; with `isLost`, the store's response is lost. */
	renewLease(host: number, isLost: boolean): void {
		const process = this.#process(host);
		if (this.#isCutOff[host % this.#names.length]) {
			return;
		}

		this.#expireLeases();
		if (process.leaseId !== undefined && !this.#leases.has(process.leaseId)) {
			process.slots.recordLeaseLost();
			process.leaseId = undefined;
		}

		const leaseId = process.leaseId ?? ++this.#revision;
		this.#leases.set(leaseId, this.#nowMs + leaseMs);
		if (!isLost) {
			process.leaseId = leaseId;
			process.slots.recordLease(this.#nowMs, leaseMs);
		}

		this.#applySlots(process);
	}

	/** Lets a host claim and give away slots by its view. */
	planSlots(host: number, isLost: boolean): void {
		const process = this.#process(host);
		const name = this.#names[host % this.#names.length]!;
		const holders = this.#views.get(name) ?? new Map<number, Entry>();
		const actions = process.slots.plan({holders, hosts: [...this.#listed]}, this.#nowMs);
		this.#applySlots(process);
		this.#expireLeases();
		if (this.#isCutOff[host % this.#names.length] === true || process.leaseId === undefined || !this.#leases.has(process.leaseId)) {
			return;
		}

		for (const action of actions) {
			if ((this.#entries.get(action.slot)?.revision ?? 0) !== action.expectedRevision) {
				continue;
			}

			if (action.kind === 'release') {
				this.#entries.delete(action.slot);
			} else {
				this.#entries.set(action.slot, {host: name, revision: ++this.#revision, leaseId: process.leaseId});
			}

			if (!isLost && action.kind === 'claim') {
				process.slots.recordClaim(action.slot, action.expectedRevision !== 0, this.#nowMs);
			} else if (!isLost) {
				process.slots.recordReleased(action.slot);
			}
		}

		this.#applySlots(process);
	}

	/** Starts to give all slots of a host away, as before a planned stop. */
	drain(host: number): void {
		const process = this.#process(host);
		process.slots.drain(this.#nowMs);
		this.#applySlots(process);
	}

	advance(ms: number): void {
		const endMs = this.#nowMs + ms;
		for (;;) {
			const next = this.#events.toSorted((a, b) => a.timeMs - b.timeMs)[0];
			if (next === undefined || next.timeMs > endMs) {
				break;
			}

			this.#events.splice(this.#events.indexOf(next), 1);
			this.#nowMs = Math.max(this.#nowMs, next.timeMs);
			next.run();
		}

		this.#nowMs = endMs;
		for (const process of this.#processes) {
			this.#applySlots(process);
		}
	}

	/** Returns the first window whose runs exceed the bound of every quota that a host knew in it or in the window before. */
	violation(): {readonly fromMs: number; readonly runs: number; readonly bound: number} | undefined {
		const {quotaWindowMs, quotaOverage, quotaTolerance} = QuotaSystemModel.bounds;
		const runs = this.runs.toSorted((a, b) => a - b);
		let first = 0;
		for (const [index, timeMs] of runs.entries()) {
			while (timeMs - runs[first]! > quotaWindowMs) {
				first++;
			}

			const startMs = runs[first]!;
			const bounds = this.known
				.filter(({fromMs, toMs}) => fromMs <= timeMs && toMs >= startMs - quotaWindowMs)
				.map(({quota}) => (((quota.ratePerSecond * quotaWindowMs / 1000) + quota.burst) * (1 + quotaOverage)) + quotaTolerance);
			const bound = Math.max(0, ...bounds);
			if (index - first + 1 > bound) {
				return {fromMs: runs[first]!, runs: index - first + 1, bound};
			}
		}

		return undefined;
	}

	#call(from: number, lender: number, asks: readonly QuotaAsk[], {thereMs, backMs, fate}: CallFate): void {
		const borrower = this.#process(from);
		const askedMs = this.#nowMs;
		const call = {isOpen: true};
		const answer = () => {
			const offers = this.#processes[lender]!.share.lend(asks, this.#nowMs);
			for (let copy = 0; copy < copiesOf(fate, 'response'); copy++) {
				this.#later(backMs * (copy + 1), () => {
					if (call.isOpen) {
						call.isOpen = false;
						borrower.share.receive({peer: this.#names[lender]!, asks, askedMs}, offers, this.#nowMs);
						borrower.loans.push(...offers.map(({loanId}) => ({lender, loanId})));
					}
				});
			}
		};

		for (let copy = 0; copy < copiesOf(fate, 'request'); copy++) {
			this.#later(thereMs * (copy + 1), answer);
		}
	}

	#forget(process: Process | undefined): void {
		const entry = process?.quota === undefined ? undefined : this.known.find(({quota, toMs}) => quota === process.quota && toMs === Number.POSITIVE_INFINITY);
		if (entry !== undefined) {
			entry.toMs = this.#nowMs;
		}
	}

	#process(host: number): Process {
		return this.#processes[host % this.#names.length]!;
	}

	#applySlots(process: Process): void {
		process.share.setSlots(process.slots.activeCount(this.#nowMs), process.slots.validUntilMs, this.#nowMs);
	}

	#expireLeases(): void {
		for (const [leaseId, expiresMs] of this.#leases) {
			if (expiresMs <= this.#nowMs) {
				this.#leases.delete(leaseId);
			}
		}

		for (const [slot, entry] of this.#entries) {
			if (!this.#leases.has(entry.leaseId)) {
				this.#entries.delete(slot);
			}
		}
	}

	#later(delayMs: number, run: () => void): void {
		this.#events.push({timeMs: this.#nowMs + delayMs, run});
	}
}

/** Returns how many copies of a message arrive. */
function copiesOf(fate: CallFate['fate'], message: 'request' | 'response'): number {
	if (fate === `${message}_lost`) {
		return 0;
	}

	return fate === `${message}_repeated` ? 2 : 1;
}
