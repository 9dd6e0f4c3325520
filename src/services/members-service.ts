import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {type Clock} from '../contracts/clock.js';
import {type GossipMessage} from '../contracts/gossip-message.js';
import {type HostList} from '../contracts/host-list.js';
import {type Member} from '../contracts/member.js';
import {type MemberUpdate} from '../contracts/member-update.js';
import {type StoreVersion} from '../contracts/store-version.js';
import {memberKey} from '../decisions/member-key.js';
import {type Membership} from '../decisions/membership.js';
import {rendezvousOrder} from '../decisions/rendezvous-order.js';
import {type Lifecycle} from '../kernel/lifecycle.js';
import {gossipWire} from './gossip-wire.js';
import {type Logger} from './logger.js';
import {type Metrics} from './metrics.js';
import {type PeerClient} from './peer-client.js';

type MembersOptions = {
	readonly membership: Membership;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly hostList: HostList;
	readonly peerClient: PeerClient;
	/** Interval of the failure detector's ticks. */
	readonly tickMs: number;
	/** Interval of reads of the platform's host list while this host knows no other member or is a delegate. */
	readonly hostListPollMs: number;
};

type MembershipEffects = ReturnType<Membership['tick']>;
type ChangesPart = Extract<MembershipEffects[number], {kind: 'changes_part'}>;

/** Size of an IPv4 and a UDP header together. */
const datagramHeaderBytes = 28;
/** Number of poll intervals between reads of the host list by a host that knows other members and is not a delegate. */
const settledPollIntervals = 6;

/** Runs the membership protocol over UDP and notifies the other services of changes. */
export class MembersService {
	readonly membership: Membership;
	readonly #options: MembersOptions;
	readonly #socket = createSocket('udp4');
	readonly #changeListeners: Array<() => void> = [];
	readonly #revisionListeners: Array<(version: StoreVersion, address: string) => void> = [];
	readonly #storeContactListeners: Array<(version: StoreVersion, rank: number) => void> = [];
	readonly #changesPartListeners: Array<(part: ChangesPart) => void> = [];
	readonly #owners = new Map<string, Member>();
	/** Message that was encoded last: the same one often goes to several members. */
	#encoded: {readonly message: GossipMessage; readonly data: Uint8Array} | undefined;
	#listedAddresses: ReadonlySet<string> = new Set();
	#pollCount = 0;
	#probeBreadth = 1;
	#isClosed = false;

	constructor(options: MembersOptions) {
		this.#options = options;
		this.membership = options.membership;
	}

	/** Opens the gossip socket and starts probing. */
	async start(lifecycle: Lifecycle): Promise<void> {
		const [host, port] = this.membership.self.peers.split(':');
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(Number(port), host, resolve);
		});
		this.#socket.on('error', err => {
			this.#options.logger.warn('gossip socket reported an error', {err: err.message});
		});
		this.#socket.on('message', data => {
			this.#receive(data);
		});
		lifecycle.addCleanup('gossip socket', () => {
			this.#isClosed = true;
			this.#socket.close();
		});
		await this.#readHostList();
		lifecycle.every('membership tick', this.#options.tickMs, () => {
			this.run(this.membership.tick(this.#options.clock.nowMs()));
			this.#logProbeBreadth();
		});
		lifecycle.every('host list', this.#options.hostListPollMs, () => {
			this.#pollCount++;
			const isSettled = this.membership.alive().length > 1 && !this.membership.isDelegate();
			if (!isSettled || this.#pollCount % settledPollIntervals === 0) {
				void this.#readHostList();
			}
		});
	}

	/** Registers a listener that is called after each change of the membership view. */
	onChange(listener: () => void): void {
		this.#changeListeners.push(listener);
	}

	/** Registers a listener that is called when a peer reports a newer version, or one without an era while this host knows the era. */
	onRevision(listener: (version: StoreVersion, address: string) => void): void {
		this.#revisionListeners.push(listener);
	}

	/** Registers a listener that is called when a watcher of the region, with this version and rank, reports that the store has just answered it. */
	onStoreContact(listener: (version: StoreVersion, rank: number) => void): void {
		this.#storeContactListeners.push(listener);
	}

	/** Registers a listener that is called with each part of changes of the store that a watcher of the region spreads. */
	onChangesPart(listener: (part: ChangesPart) => void): void {
		this.#changesPartListeners.push(listener);
	}

	/** Whether this host's view is reliable enough to decide on behalf of other hosts. */
	isConfident(): boolean {
		return this.membership.isConfident(this.#options.clock.nowMs());
	}

	/** Whether this host may act for its region, for example as the one sender to a cold instance. */
	mayActForRegion(): boolean {
		return this.membership.mayActForRegion(this.#options.clock.nowMs());
	}

	/** Returns the member of the region that owns a service's slots. */
	ownerOf(service: string): Member {
		let owner = this.#owners.get(service);
		if (owner === undefined) {
			const candidates = this.membership.candidates();
			const eligible = candidates.length > 0 ? candidates : this.membership.alive();
			owner = rendezvousOrder(service, eligible, memberKey)[0] ?? this.membership.self;
			this.#owners.set(service, owner);
		}

		return owner;
	}

	isSelf(member: Member): boolean {
		return memberKey(member) === memberKey(this.membership.self);
	}

	/** Whether an address belongs to a daemon, according to membership or the platform's host list. */
	isDaemonAddress(address: string): boolean {
		const {membership} = this;
		return this.#listedAddresses.has(address)
			|| membership.updates().some(update => update.member.peers === address)
			|| membership.otherRegions().some(region => membership.hostsOf(region).some(member => member.peers === address));
	}

	/** Records that a member refused a connection. */
	recordRefusedConnection(key: string): void {
		this.run(this.membership.recordRefusedConnection(key, this.#options.clock.nowMs()));
	}

	/** Merges another daemon's view and returns this host's view. */
	exchange(updates: readonly MemberUpdate[]): MemberUpdate[] {
		this.run(this.membership.merge(updates, this.#options.clock.nowMs()));
		return this.membership.updates();
	}

	/** Executes membership effects. Does nothing once the service has closed, because calls in flight may still complete after that. */
	run(effects: MembershipEffects): void {
		if (this.#isClosed) {
			return;
		}

		let isChanged = false;
		for (const effect of effects) {
			switch (effect.kind) {
				case 'send': {
					this.#send(effect.address, effect.message);
					break;
				}

				case 'sync': {
					void this.#sync(effect.address);
					break;
				}

				case 'revision': {
					for (const listener of this.#revisionListeners) {
						listener(effect.version, effect.address);
					}

					break;
				}

				case 'store_contact': {
					for (const listener of this.#storeContactListeners) {
						listener(effect.version, effect.rank);
					}

					break;
				}

				case 'changes_part': {
					for (const listener of this.#changesPartListeners) {
						listener(effect);
					}

					break;
				}

				case 'changed': {
					isChanged = true;
					break;
				}
			}
		}

		if (isChanged) {
			this.#owners.clear();
			for (const listener of this.#changeListeners) {
				listener();
			}
		}
	}

	#logProbeBreadth(): void {
		const {probeBreadth} = this.membership;
		if (probeBreadth > this.#probeBreadth) {
			this.#options.logger.limited('members do not respond to probes; more of them are probed at once', {atMost: probeBreadth, alive: this.membership.alive().length});
		}

		this.#probeBreadth = probeBreadth;
	}

	#receive(data: Uint8Array): void {
		const {metrics, clock} = this.#options;
		metrics.count('gossip_received_bytes', {}, data.byteLength + datagramHeaderBytes);
		metrics.count('gossip_received_messages');
		const message = gossipWire.decode(data);
		if (message === undefined) {
			metrics.count('gossip_invalid_messages');
			return;
		}

		this.run(this.membership.receive(message, clock.nowMs()));
	}

	#send(address: string, message: GossipMessage): void {
		if (this.#encoded?.message !== message) {
			this.#encoded = {message, data: gossipWire.encode(message)};
		}

		const {data} = this.#encoded;
		const [host, port] = address.split(':');
		this.#options.metrics.count('gossip_sent_bytes', {}, data.byteLength + datagramHeaderBytes);
		this.#options.metrics.count('gossip_sent_messages');
		this.#socket.send(Buffer.from(data.buffer, data.byteOffset, data.byteLength), Number(port), host, () => undefined);
	}

	async #sync(address: string): Promise<void> {
		try {
			const response = await this.#options.peerClient.control(address).sync.mutate({updates: this.membership.updates()});
			this.run(this.membership.merge(response.updates, this.#options.clock.nowMs()));
			this.#options.metrics.count('member_syncs');
		} catch (err) {
			this.#options.logger.debug('membership sync with a peer failed', {address, err: String(err)});
		}
	}

	async #readHostList(): Promise<void> {
		const list = await this.#options.hostList.fetch();
		if (!list.success) {
			this.#options.logger.debug('reading the host list failed', {err: list.error.message});
			return;
		}

		const {self} = this.membership;
		const entries = list.data.filter(host => host.role === 'entry');
		this.#listedAddresses = new Set(entries.map(host => host.address));
		const localAddresses = entries.filter(host => host.region === self.region).map(host => host.address);
		const remoteAddresses = groupByRegion(entries);
		remoteAddresses.delete(self.region);
		this.membership.setListedAddresses(localAddresses, remoteAddresses);
	}
}

function groupByRegion(hosts: ReadonlyArray<{region: string; address: string}>): Map<string, string[]> {
	const groups = new Map<string, string[]>();
	for (const host of hosts) {
		groups.set(host.region, [...(groups.get(host.region) ?? []), host.address]);
	}

	return groups;
}
