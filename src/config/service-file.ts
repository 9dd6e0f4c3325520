import {z} from 'zod';
import {Name} from './name.js';
import {SocketAddress} from './socket-address.js';

const Milliseconds = z.int().min(1).max(604_800_000);

const ServiceClass = z.strictObject({
	name: Name,
	/** Priority; 1 is the most urgent. */
	priority: z.int().min(1).max(9),
	/** Target latency, in milliseconds. */
	targetMs: Milliseconds,
	/** Default and maximum of the time that a caller allows for a request, in milliseconds. */
	deadlineMs: Milliseconds,
	/** Whether a request may run more than once. */
	repeatable: z.boolean(),
	/** Share of the service's slots that is guaranteed to the class while it has requests. */
	floor: z.number().min(0).max(0.9),
});

const Place = z.strictObject({
	region: Name,
	zone: Name,
	/** Number of requests that one instance runs at the same time. */
	slots: z.int().min(1).max(10_000),
	/** Number of connections that one instance accepts from all hosts together. */
	connections: z.int().min(1).max(1_000_000),
	instances: z.array(z.strictObject({id: Name, address: SocketAddress})).min(1).max(1000),
});

/** Operators' file of one service: its classes of requests and its instances by zone. */
export const ServiceFile = z.strictObject({
	service: z.strictObject({
		name: Name,
		/** Whether a response with status 503 and `Cowslipspar-Not-Run: 1` proves that the request did not run. */
		shedMeansNotRun: z.boolean().default(true),
	}),
	classes: z.array(ServiceClass).min(1).max(9),
	places: z.array(Place).min(1).max(200),
}).superRefine((file, ctx) => {
	const floorSum = file.classes.reduce((sum, item) => sum + item.floor, 0);
	if (floorSum > 1) {
		ctx.addIssue({code: 'custom', path: ['classes'], message: `the sum of the floors must be at most 1, got ${floorSum.toFixed(2)}`});
	}

	reportDuplicates(file.classes.map(item => item.name), index => {
		ctx.addIssue({code: 'custom', path: ['classes', index, 'name'], message: 'duplicate class name'});
	});
	const instances = file.places.flatMap((place, placeIndex) => place.instances.map((item, index) => ({item, path: ['places', placeIndex, 'instances', index]})));
	reportDuplicates(instances.map(entry => entry.item.id), index => {
		ctx.addIssue({code: 'custom', path: [...instances[index]!.path, 'id'], message: 'duplicate instance id'});
	});
	reportDuplicates(instances.map(entry => entry.item.address), index => {
		ctx.addIssue({code: 'custom', path: [...instances[index]!.path, 'address'], message: 'duplicate address'});
	});
});

/** Parsed operators' file of one service. */
export type ServiceFile = Readonly<z.infer<typeof ServiceFile>>;

/** Calls `onDuplicate` with the index of each value that occurs earlier in the list. */
function reportDuplicates(values: readonly string[], onDuplicate: (index: number) => void): void {
	const seen = new Set<string>();
	for (const [index, value] of values.entries()) {
		if (seen.has(value)) {
			onDuplicate(index);
		}

		seen.add(value);
	}
}
