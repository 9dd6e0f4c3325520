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

type AssignmentEntries = Array<[objectId: string, instanceId: string]>;

/** Time without requests after which the assignment of an object is withdrawn. */
const idleExpiryMs = 60_000;

/** The instance of each object. Every change has a version, so that a host can be sent just the changes that it lacks. */
export class ObjectAssignments {
	readonly #objects = new Map<string, AssignedObject>();
	/** Version in which the assignment of an object was withdrawn, by the id of the object. */
	readonly #withdrawnVersions = new Map<string, number>();
	#version: number;
	/** Version of the assignments that were known at the start or adopted since. */
	#adoptedVersion: number;

	/** `version` has to exceed that of any earlier planner of the region; `known` are the initial assignments, from object id to instance id. */
	constructor(version: number, known: ReadonlyMap<string, string>, nowMs: number) {
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

	/** Returns the object of a request; adds one without an instance if there is none. */
	getOrAdd(service: string, priority: number, objectKey: string, nowMs: number): AssignedObject {
		return this.#objects.get(objectId(service, priority, objectKey)) ?? this.#add(service, priority, objectKey, nowMs);
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

	/** Withdraws the assignments of objects that have not been requested for a long time. */
	withdrawIdle(nowMs: number): void {
		for (const object of this.#objects.values()) {
			if (nowMs - object.demand.lastActiveMs > idleExpiryMs) {
				this.#version++;
				this.#objects.delete(object.id);
				this.#withdrawnVersions.set(object.id, this.#version);
			}
		}
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
