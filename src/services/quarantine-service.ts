import {type Clock} from '../contracts/clock.js';
import {type CrashReport} from '../contracts/crash-report.js';
import {type CrashReportAudience} from '../contracts/crash-report-audience.js';
import {KnownCrashReports} from '../contracts/known-crash-reports.js';
import {type Member} from '../contracts/member.js';
import {CrashReportBatch} from '../decisions/crash-report-batch.js';
import {fingerprintKinds} from '../decisions/fingerprint-kinds.js';
import {memberKey} from '../decisions/member-key.js';
import {Quarantine} from '../decisions/quarantine.js';
import {rendezvousOrder} from '../decisions/rendezvous-order.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {pause} from './pause.js';
import {type PeerClient} from './peer-client.js';

type QuarantineOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly members: MembersService;
	readonly peerClient: PeerClient;
	/** Time for which reports are collected before they are sent together, in milliseconds. */
	readonly collectMs: number;
};

/** Time for which the sender of reports waits for the other hosts. */
const shareTimeoutMs = 400;
/** Number of reports in one call. */
const maxReportsPerCall = 256;
/** Number of hosts that are tried as the receiver that passes reports on to its region. */
const maxReceiverAttempts = 2;
/** Largest number of reports that a host which has just started gets from another. */
const maxKnownReports = 1000;
/** Pause after the first host that is asked for them, which doubles each time, and the time after which none is asked any more. */
const firstRecoveryPauseMs = 300;
const recoveryLimitMs = 10_000;
/** Key by which the hosts of a region are ordered as receivers of reports. */
const receiverOrderKey = 'crash reports';

/**
 * Shares crash reports of requests with all hosts, and determines which requests are quarantined. Reports go through one
 * collector in each region, so that the number of calls grows with the number of hosts, not with the number of lost requests.
 */
export class QuarantineService {
	readonly #options: QuarantineOptions;
	readonly #quarantine = new Quarantine();
	readonly #batch = new CrashReportBatch();
	#nextSend: Promise<void> | undefined;
	/** Whether this host has the reports of the time before it started, as far as there are any. */
	#isComplete = false;

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	/** Asks other hosts for the crash reports of the time before this one started, until one has them or a time has passed. */
	start(lifecycle: Pick<Lifecycle, 'addCleanup'>): void {
		const abort = new AbortController();
		lifecycle.addCleanup('crash reports', () => {
			abort.abort();
		});
		void this.#recover(abort.signal);
	}

	/** Returns the crash reports that count here, for a host that has just started. */
	known(): KnownCrashReports {
		const nowMs = this.#options.clock.nowMs();
		const reports = this.#quarantine.latest(maxKnownReports, nowMs).map(({fingerprint, service, instances, sinceMs}) => ({
			fingerprint, service, instances: [...instances], ageMs: Math.max(0, nowMs - sinceMs),
		}));
		return {isComplete: this.#isComplete, reports};
	}

	isBlocked(fingerprint: string): boolean {
		return this.#quarantine.isBlocked(fingerprint, this.#options.clock.nowMs());
	}

	/** Returns whether any instance was lost while it ran a request with this fingerprint. */
	isSuspect(fingerprint: string): boolean {
		return this.#quarantine.isSuspect(fingerprint, this.#options.clock.nowMs());
	}

	/** Returns the instances that were lost while they ran the request. */
	lostInstances(fingerprint: string): readonly string[] {
		return this.#quarantine.lostInstances(fingerprint);
	}

	/** Returns the requests that are refused at present. */
	blocked(): ReturnType<Quarantine['blocked']> {
		return this.#quarantine.blocked(this.#options.clock.nowMs());
	}

	/** Records that an instance was lost while it ran a request, and waits until the other hosts have received the report or a timeout has passed. */
	async reportCrash(fingerprint: string, service: string, instanceId: string): Promise<void> {
		const {clock, logger, metrics} = this.#options;
		metrics.count('upstream_crash_signs', {service});
		const isUnshared = this.lostInstances(fingerprint).length === 0;
		if (!this.#quarantine.recordCrash(fingerprint, service, [instanceId], clock.nowMs())) {
			return;
		}

		if (isUnshared && fingerprintKinds.kindOf(fingerprint) === 'beginning') {
			logger.warn('an upstream was lost while it ran a request with a long body; bodies that begin alike are identified before they are passed on', {fingerprint, service, instance: instanceId});
		}

		if (this.isBlocked(fingerprint)) {
			logger.warn('request quarantined: several upstreams were lost while they ran it', {fingerprint, service, instances: this.lostInstances(fingerprint)});
		}

		this.#batch.add(fingerprint, {
			service, isCleared: false, destination: 'collector', isUnshared,
		});
		await this.#sendBatch();
	}

	/** Clears a request after a complete response. */
	clearAfterResponse(fingerprint: string, service: string): void {
		if (this.#quarantine.clear(fingerprint) && !this.#batch.withdrawUnshared(fingerprint)) {
			void this.#shareClearing(fingerprint, service);
		}
	}

	/** Clears a request on behalf of an operator; returns whether any crash report was recorded for it. */
	async lift(fingerprint: string): Promise<boolean> {
		const wasHeld = this.#quarantine.clear(fingerprint);
		await this.#shareClearing(fingerprint, '');
		return wasHeld;
	}

	/** Merges crash reports from another host, and passes them on to the hosts for which this one is responsible. */
	async receiveCrashReports(reports: readonly CrashReport[], audience: CrashReportAudience): Promise<void> {
		for (const {fingerprint, service, instances, isCleared} of reports) {
			this.#batch.recordShared(fingerprint);
			if (isCleared) {
				this.#quarantine.clear(fingerprint);
			} else {
				this.#quarantine.recordCrash(fingerprint, service, instances, this.#options.clock.nowMs());
			}

			if (audience !== 'receiver') {
				this.#batch.add(fingerprint, {
					service, isCleared, destination: audience === 'region' ? 'own_region' : 'all_regions', isUnshared: false,
				});
			}
		}

		if (audience !== 'receiver') {
			await this.#sendBatch();
		}
	}

	async #recover(signal: AbortSignal): Promise<void> {
		const {clock, logger} = this.#options;
		const endMs = clock.nowMs() + recoveryLimitMs;
		const asked = new Set<string>();
		let pauseMs = firstRecoveryPauseMs;
		while (!signal.aborted && !this.#isComplete && clock.nowMs() < endMs) {
			const peer = this.#peers().find(({peers}) => !asked.has(peers));
			if (peer === undefined) {
				// Those asked so far may have more by now, and others may have become known.
				asked.clear();
			} else {
				asked.add(peer.peers);
				await this.#recoverFrom(peer);
			}

			await pause(Math.min(pauseMs, endMs - clock.nowMs()), signal);
			pauseMs *= 2;
		}

		if (!signal.aborted && !this.#isComplete) {
			this.#isComplete = true;
			logger.info('no other host has crash reports of an earlier time; this one begins without', {knownRequests: this.#quarantine.latest(maxKnownReports, clock.nowMs()).length});
		}
	}

	/** Returns the other hosts, those of the own region first, in an order of this host's own. */
	#peers(): readonly Member[] {
		const {members} = this.#options;
		const {self} = members.membership;
		const own = members.membership.alive().filter(member => !members.isSelf(member));
		const foreign = members.membership.otherRegions().flatMap(region => members.membership.hostsOf(region));
		return [own, foreign].flatMap(hosts => rendezvousOrder(memberKey(self), hosts, memberKey));
	}

	async #recoverFrom({id, peers}: Member): Promise<void> {
		const {peerClient, clock, logger} = this.#options;
		try {
			const {isComplete, reports} = KnownCrashReports.parse(await peerClient.control(peers).knownCrashReports.query());
			const nowMs = clock.nowMs();
			for (const {fingerprint, service, instances, ageMs} of reports) {
				this.#quarantine.recordCrash(fingerprint, service, instances, nowMs - ageMs);
			}

			this.#isComplete ||= isComplete;
			if (reports.length > 0) {
				logger.info('crash reports of an earlier time taken over from another host', {from: id, requests: reports.length, isComplete});
			}
		} catch (err) {
			logger.debug('asking a host for crash reports failed', {from: id, err: String(err)});
		}
	}

	async #shareClearing(fingerprint: string, service: string): Promise<void> {
		this.#batch.add(fingerprint, {
			service, isCleared: true, destination: 'collector', isUnshared: false,
		});
		await this.#sendBatch();
	}

	/** Resolves once the reports that are being collected were sent. */
	async #sendBatch(): Promise<void> {
		this.#nextSend ??= this.#collectAndSend();
		await this.#nextSend;
	}

	async #collectAndSend(): Promise<void> {
		await pause(this.#options.collectMs);
		this.#nextSend = undefined;
		const reports: Record<'collector' | 'own_region' | 'all_regions', CrashReport[]> = {collector: [], own_region: [], all_regions: []};
		for (const [fingerprint, {service, isCleared, destination}] of this.#batch.take()) {
			const instances = isCleared ? [] : [...this.lostInstances(fingerprint)];
			// A request without a report was cleared by another host in the meantime.
			if (isCleared || instances.length > 0) {
				reports[destination].push({
					fingerprint, service, instances, isCleared,
				});
			}
		}

		await Promise.race([
			Promise.all([
				...chunksOf(reports.collector).map(async chunk => this.#sendToCollector(chunk)),
				...chunksOf(reports.own_region).map(async chunk => this.#sendToRegion(chunk)),
				...chunksOf(reports.all_regions).map(async chunk => this.#sendToAllRegions(chunk)),
			]),
			pause(shareTimeoutMs),
		]);
	}

	/** Sends reports to the region's collector. This host takes its place if it is the next in order, or if none can be reached. */
	async #sendToCollector(reports: readonly CrashReport[]): Promise<void> {
		const {members} = this.#options;
		const order = rendezvousOrder(receiverOrderKey, members.membership.candidates(), memberKey);
		const isSent = await this.#sendToFirst(order, reports, 'all_regions');
		if (!isSent) {
			await this.#sendToAllRegions(reports);
		}
	}

	async #sendToAllRegions(reports: readonly CrashReport[]): Promise<void> {
		const {membership} = this.#options.members;
		await Promise.all([
			this.#sendToRegion(reports),
			...membership.otherRegions().map(async region => this.#sendToFirst(rendezvousOrder(receiverOrderKey, membership.hostsOf(region), memberKey), reports, 'region')),
		]);
	}

	async #sendToRegion(reports: readonly CrashReport[]): Promise<void> {
		const {members} = this.#options;
		const peers = members.membership.alive().filter(member => !members.isSelf(member));
		await Promise.all(peers.map(async peer => this.#send(peer, reports, 'receiver')));
	}

	/** Sends reports to the first of a region's hosts that receives them; returns false if none did, or if this host is next. */
	async #sendToFirst(order: readonly Member[], reports: readonly CrashReport[], audience: CrashReportAudience): Promise<boolean> {
		for (const host of order.slice(0, maxReceiverAttempts)) {
			if (this.#options.members.isSelf(host)) {
				return false;
			}

			if (await this.#send(host, reports, audience)) {
				return true;
			}
		}

		return false;
	}

	/** Sends reports to a host; returns whether it received them. Its response follows once it has passed them on, or has tried to for a bounded time. */
	async #send(host: Member, reports: readonly CrashReport[], audience: CrashReportAudience): Promise<boolean> {
		const {peerClient, metrics, logger} = this.#options;
		metrics.count('crash_report_calls', {audience});
		try {
			await peerClient.control(host.peers).crashReports.mutate({reports: [...reports], audience});
			return true;
		} catch (err) {
			metrics.count('strike_news_lost');
			logger.debug('sending crash reports to a host failed', {to: host.id, audience, err: String(err)});
			return false;
		}
	}
}

function chunksOf(reports: readonly CrashReport[]): CrashReport[][] {
	const chunks: CrashReport[][] = [];
	for (let start = 0; start < reports.length; start += maxReportsPerCall) {
		chunks.push(reports.slice(start, start + maxReportsPerCall));
	}

	return chunks;
}
