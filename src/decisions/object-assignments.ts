import {ObjectDemand} from './object-demand.js';
import {objectId} from './object-id.js';

/** The requests of one priority for one object, which share an instance. */
type AssignedObject = {
	readonly id: string;
	readonly service: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly objectKey: string;
	readonly demand: ObjectDemand;
	/** Regions in which its requests may run; empty for all. */
	allowedRegions: readonly string[];
	/** Empty before the first assignment. */
	instanceId: string;
	/** Version in which the instance was last changed. */
	version: number;
	/** Moment of the latest move between instances that took work, in monotonic milliseconds. */
	movedMs: number;
	/** Moment from which its first run at the instance is known to be over, in monotonic milliseconds; infinite before. */
	ranThereMs: number;
};

type Entries = Array<[objectId: string, instanceId: string]>;

/** Time after which an object that nobody asks for is forgotten, in milliseconds. */
const forgetMs = 60_000;

/** The instances of all objects, with a version for each change, so that hosts can be told what they lack. */
export class ObjectAssignments {
	readonly #objects = new Map<string, AssignedObject>();
	readonly #withdrawn = new Map<string, number>();
	#version: number;
	/** Version of the assignments that were known at the start or taken over since. */
	#adoptedVersion: number;

	/** `version` has to exceed that of any earlier planner of the region; `known` are the assignments to begin with. */
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

	/** The object of a request; a new one without an instance if it is not known. */
	obtain(service: string, priority: number, objectKey: string, nowMs: number): AssignedObject {
		return this.#objects.get(objectId(service, priority, objectKey)) ?? this.#add(service, priority, objectKey, nowMs);
	}

	/** Gives an object an instance. */
	assign(object: AssignedObject, instanceId: string): void {
		this.#version++;
		object.instanceId = instanceId;
		object.version = this.#version;
		object.ranThereMs = Number.POSITIVE_INFINITY;
	}

	/** Goes on from an earlier planner's assignments if they are newer than all known before: objects are warm there. */
	adopt(known: Readonly<Entries>, version: number, nowMs: number): void {
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

	/** What a host lacks that has the changes up to a version; an empty instance withdraws an assignment. */
	changesSince(haveVersion: number): Entries {
		// A higher version is another planner's, of which nothing is known here.
		const version = haveVersion > this.#version ? 0 : haveVersion;
		const changed = [...this.#objects.values()].filter(object => object.version > version && object.instanceId !== '');
		const withdrawn = [...this.#withdrawn].filter(([, withdrawnVersion]) => withdrawnVersion > version);
		return [...changed.map((object): Entries[number] => [object.id, object.instanceId]), ...withdrawn.map(([id]): Entries[number] => [id, ''])];
	}

	/** Withdraws the objects that nobody has asked for in a long time. */
	forget(nowMs: number): void {
		for (const object of this.#objects.values()) {
			if (nowMs - object.demand.lastAskedMs > forgetMs) {
				this.#version++;
				this.#objects.delete(object.id);
				this.#withdrawn.set(object.id, this.#version);
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
			movedMs: Number.NEGATIVE_INFINITY,
			ranThereMs: Number.POSITIVE_INFINITY,
		};
		this.#objects.set(object.id, object);
		this.#withdrawn.delete(object.id);
		return object;
	}

	#addKnown(id: string, nowMs: number): AssignedObject {
		const [service, priority, ...rest] = id.split('|');
		return this.#add(service!, Number(priority), rest.join('|'), nowMs);
	}
}
