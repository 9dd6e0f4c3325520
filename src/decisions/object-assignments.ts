import {ObjectDemand} from './object-demand.js';
import {objectId} from './object-id.js';

/** An object of a service for the requests of one priority, which all go to the same instance. */
type AssignedObject = {
	readonly id: string;
	readonly service: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly objectKey: string;
	readonly demand: ObjectDemand;
	/** Regions in which its requests may run; empty if they may run in all. */
	allowedRegions: readonly string[];
	/** Empty before the first assignment. */
	instanceId: string;
	/** Version of the assignments in which the instance was last changed. */
	version: number;
	/** Monotonic time of the latest move away from an instance that was still accepting requests. */
	lastMovedMs: number;
	/** Monotonic time at which the first run at the instance was reported, so that it has ended by then; infinite before. */
	firstRunEndedMs: number;
};

type AssignmentsOptions = {
	/** Has to exceed that of any earlier planner of the region. */
	readonly version: number;
	/** Initial assignments, from object id to instance id. */
	readonly known: ReadonlyMap<string, string>;
	/** Number of objects that are kept from one tick to the next. */
	readonly maxObjects: number;
};

type AssignmentEntries = Array<[objectId: string, instanceId: string]>;

/** Time without requests after which the assignment of an object is withdrawn. */
const idleExpiryMs = 60_000;
/** Share of `maxObjects` that may be added between two ticks. Each new object is sent to all hosts of the region, and so is its withdrawal. */
const newObjectsShare = 0.25;

/** The instance of each object. Every change has a version, so that a host can be sent just the changes that it lacks. */
export class ObjectAssignments {
	readonly #objects = new Map<string, AssignedObject>();
	/** Version in which the assignment of an object was withdrawn, by the id of the object. */
	readonly #withdrawnVersions = new Map<string, number>();
	readonly #maxObjects: number;
	/** Number of objects that may still be added before the next tick. */
	#newObjectsLeft: number;
	#version: number;
	/** Version of the assignments that were known at the start or adopted since. */
	#adoptedVersion: number;

	constructor({version, known, maxObjects}: AssignmentsOptions, nowMs: number) {
		this.#maxObjects = maxObjects;
		this.#newObjectsLeft = Math.ceil(maxObjects * newObjectsShare);
		this.#version = version;
		this.#adoptedVersion = version;
		for (const [id, instanceId] of known) {
			this.#addKnown(id, nowMs).instanceId = instanceId;
		}
	}

	get version(): number {
		return this.#version;
	}

	get(id: string): AssignedObject | undefined {
		return this.#objects.get(id);
	}

	ofService(service: string): AssignedObject[] {
		return [...this.#objects.values()].filter(object => object.service === service);
	}

	/** Returns the object of a request; adds one without an instance if there is none, unless too many were added since the latest tick. */
	getOrAdd(service: string, priority: number, objectKey: string, nowMs: number): AssignedObject | undefined {
		const object = this.#objects.get(objectId(service, priority, objectKey));
		if (object !== undefined || this.#newObjectsLeft === 0) {
			return object;
		}

		this.#newObjectsLeft--;
		return this.#add(service, priority, objectKey, nowMs);
	}

	/** Assigns an object to an instance. */
	assign(object: AssignedObject, instanceId: string): void {
		this.#version++;
		object.instanceId = instanceId;
		object.version = this.#version;
		object.firstRunEndedMs = Number.POSITIVE_INFINITY;
	}

	/** Adopts an earlier planner's assignments if they are newer than all that were known before, because those instances are warm for the objects. */
	adopt(known: Readonly<AssignmentEntries>, version: number, nowMs: number): void {
		if (known.length === 0 || version <= this.#adoptedVersion) {
			return;
		}

		this.#adoptedVersion = version;
		for (const [id, instanceId] of known) {
			const object = this.#objects.get(id) ?? this.#addKnown(id, nowMs);
			if (object.instanceId !== instanceId) {
				this.assign(object, instanceId);
			}
		}
	}

	/** Returns the changes after the version that a host has. An empty instance id withdraws an assignment. */
	changesSince(haveVersion: number): AssignmentEntries {
		// A higher version comes from another planner, whose assignments are unknown here, so the host is sent everything.
		const version = haveVersion > this.#version ? 0 : haveVersion;
		const changed = [...this.#objects.values()].filter(object => object.version > version && object.instanceId !== '');
		const withdrawn = [...this.#withdrawnVersions].filter(([, withdrawnVersion]) => withdrawnVersion > version);
		return [...changed.map((object): AssignmentEntries[number] => [object.id, object.instanceId]), ...withdrawn.map(([id]): AssignmentEntries[number] => [id, ''])];
	}

	/** Withdraws the assignments of objects that have not been requested for a long time, and of the least requested ones beyond the limit. */
	withdrawLeastUsed(nowMs: number): void {
		this.#newObjectsLeft = Math.ceil(this.#maxObjects * newObjectsShare);
		for (const object of this.#objects.values()) {
			if (nowMs - object.demand.lastActiveMs > idleExpiryMs) {
				this.#withdraw(object);
			}
		}

		if (this.#objects.size > this.#maxObjects) {
			const ranked = [...this.#objects.values()].map(object => ({object, rate: object.demand.requestsPerSecond(nowMs)})).sort((a, b) => b.rate - a.rate);
			for (const {object} of ranked.slice(this.#maxObjects)) {
				this.#withdraw(object);
			}
		}

		// Hosts ask for changes about each second, so that the oldest withdrawals have reached them.
		for (const id of this.#withdrawnVersions.keys()) {
			if (this.#withdrawnVersions.size <= this.#maxObjects) {
				break;
			}

			this.#withdrawnVersions.delete(id);
		}
	}

	#withdraw(object: AssignedObject): void {
		this.#version++;
		this.#objects.delete(object.id);
		this.#withdrawnVersions.set(object.id, this.#version);
	}

	#add(service: string, priority: number, objectKey: string, nowMs: number): AssignedObject {
		const object: AssignedObject = {
			id: objectId(service, priority, objectKey),
			service,
			priority,
			objectKey,
			demand: new ObjectDemand(nowMs),
			allowedRegions: [],
			instanceId: '',
			version: this.#version,
			lastMovedMs: Number.NEGATIVE_INFINITY,
			firstRunEndedMs: Number.POSITIVE_INFINITY,
		};
		this.#objects.set(object.id, object);
		this.#withdrawnVersions.delete(object.id);
		return object;
	}

	#addKnown(id: string, nowMs: number): AssignedObject {
		const [service, priority, ...rest] = id.split('|');
		return this.#add(service!, Number(priority), rest.join('|'), nowMs);
	}
}
