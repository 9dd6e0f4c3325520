import {type PrefixStore} from '../src/contracts/prefix-store.js';
import {type StoreItem} from '../src/contracts/store-item.js';
import {RevisionTracker} from '../src/decisions/revision-tracker.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {StoreOutage} from '../src/decisions/store-outage.js';
import {TransferAdmission} from '../src/decisions/transfer-admission.js';
import {Lifecycle} from '../src/kernel/lifecycle.js';
import {type Logger} from '../src/services/logger.js';
import {type MembersService} from '../src/services/members-service.js';
import {Metrics} from '../src/services/metrics.js';
import {type PeerClient} from '../src/services/peer-client.js';
import {ReplicaService} from '../src/services/replica-service.js';
import {SteeringRouter} from '../src/services/steering-router.js';

type Message = Readonly<Record<string, unknown>>;
type Conveyance = (message: Message) => Message;
type RevisionListener = Parameters<MembersService['onRevision']>[0];

const address = 'source';

/** Two replicas without a store, one of which pulls from the other through the router and JSON. */
export class ReplicaPair {
	/** Sizes of the transfers for whose admission the source asked. */
	readonly admittedBytes: number[] = [];
	/** Size of the body of each response that was sent. */
	readonly sentBytes: number[] = [];
	readonly logged: string[] = [];
	readonly source: ReplicaService;
	readonly receiver: ReplicaService;
	readonly #lifecycle = new Lifecycle();
	#report: RevisionListener | undefined;
	#conveyRequest: Conveyance | undefined;
	#conveyResponse: Conveyance | undefined;

	constructor() {
		const admission = new TransferAdmission({linkMbps: 10});
		this.source = this.#createReplica({
			admit: (bytes: number, nowMs: number) => {
				this.admittedBytes.push(bytes);
				return admission.admit(bytes, nowMs);
			},
		} as unknown as TransferAdmission);
		this.receiver = this.#createReplica(admission);
		this.receiver.follow({
			membership: {setVersion: () => [], setSpreadVersion: () => [], delegateRank: () => 5},
			run: () => undefined,
			isConfident: () => true,
			onStoreContact: () => undefined,
			onChangesPart: () => undefined,
			onRevision: (listener: RevisionListener) => {
				this.#report = listener;
			},
		} as unknown as MembersService, this.#lifecycle);
	}

	/** Sets all items of the source, and tells the receiver of them. */
	publish(items: readonly StoreItem[], revision: number): void {
		this.source.items.applyFullRead(items, {era: 1, revision}, 0);
		this.#report?.({era: 1, revision}, address);
	}

	/** Sets what happens to the receiver's requests on their way. */
	conveyRequests(conveyance: Conveyance): void {
		this.#conveyRequest = conveyance;
	}

	/** Sets what happens to the responses to the receiver on their way. */
	conveyResponses(conveyance: Conveyance): void {
		this.#conveyResponse = conveyance;
	}

	/** Sends a request of a peer to the source; returns the body of the response. */
	async request(input: Message): Promise<Message> {
		// The other services of the router are not called.
		const router = SteeringRouter.create({replica: this.source} as unknown as Parameters<typeof SteeringRouter.create>[0]);
		const ends: Array<() => void> = [];
		const response = await router.createCaller({
			onResponseEnd(listener) {
				ends.push(listener);
			},
		}).items(input as {readonly haveRevision: number});
		const body = JSON.stringify(response);
		this.sentBytes.push(body.length);
		for (const end of ends) {
			end();
		}

		return JSON.parse(body) as Message;
	}

	async close(): Promise<void> {
		await this.#lifecycle.close();
	}

	async #exchange(request: Message): Promise<Message> {
		const response = await this.request(this.#conveyRequest?.(request) ?? request);
		return this.#conveyResponse?.(response) ?? response;
	}

	#createReplica(admission: TransferAdmission): ReplicaService {
		const unreachable = async () => ({success: false, error: {code: 'unavailable', message: ''}} as const);
		const log = () => undefined;
		return new ReplicaService({
			revisionTracker: new RevisionTracker(new SeededRandom(1), 0),
			outage: new StoreOutage(2200),
			clock: {nowMs: () => 500},
			store: {ping: unreachable, list: unreachable} as unknown as PrefixStore,
			logger: {
				info: log, warn: log, debug: log, limited: (message: string, fields: Message) => {
					this.logged.push(`${message} ${JSON.stringify(fields)}`);
				},
			} as unknown as Logger,
			metrics: new Metrics(),
			peerClient: {
				steering: () => ({items: {mutate: async (request: Message) => this.#exchange(request)}}),
			} as unknown as PeerClient,
			seeds: [],
			admission,
		});
	}
}
