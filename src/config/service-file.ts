import {z} from 'zod';
import {Name} from './name.js';
import {SocketAddress} from './socket-address.js';

const Milliseconds = z.int().min(1).max(604_800_000);

const ServiceClass = z.strictObject({
	name: Name,
	/** 1 is the most urgent. */
	priority: z.int().min(1).max(9),
	/** Latency that the class aims for, in milliseconds. */
	targetMs: Milliseconds,
	/** Longest time a caller may allow, and the default, in milliseconds. */
	deadlineMs: Milliseconds,
	/** Whether a request may run more than once. */
	repeatable: z.boolean(),
	/** Share of the service's slots that the class keeps while it has work. */
	floor: z.number().min(0).max(0.9),
});

const Place = z.strictObject({
	region: Name,
	zone: Name,
	/** Requests that one instance runs at once. */
	slots: z.int().min(1).max(10_000),
	/** Connections that one instance accepts from all hosts together. */
	connections: z.int().min(1).max(1_000_000),
	instances: z.array(z.strictObject({id: Name, address: SocketAddress})).min(1).max(1000),
});

/** Operators' file of one service: its classes of work and the places that run it. */
export const ServiceFile = z.strictObject({
	service: z.strictObject({
		name: Name,
		/** Whether an answer with status 503 and `Cowslipspar-Not-Run: 1` is proof that the request did not run. */
		shedMeansNotRun: z.boolean().default(true),
	}),
	classes: z.array(ServiceClass).min(1).max(9),
	places: z.array(Place).min(1).max(200),
}).superRefine((file, ctx) => {
	const floorSum = file.classes.reduce((sum, item) => sum + item.floor, 0);
	if (floorSum > 1) {
		ctx.addIssue({code: 'custom', path: ['classes'], message: `the floors add up to ${floorSum.toFixed(2)}; at most 1 is allowed`});
	}

	reportRepeats(file.classes.map(item => item.name), index => {
		ctx.addIssue({code: 'custom', path: ['classes', index, 'name'], message: 'this class name is used twice'});
	});
	const instances = file.places.flatMap((place, placeIndex) => place.instances.map((item, index) => ({item, path: ['places', placeIndex, 'instances', index]})));
	reportRepeats(instances.map(entry => entry.item.id), index => {
		ctx.addIssue({code: 'custom', path: [...instances[index]!.path, 'id'], message: 'this instance id is used twice'});
	});
	reportRepeats(instances.map(entry => entry.item.address), index => {
		ctx.addIssue({code: 'custom', path: [...instances[index]!.path, 'address'], message: 'this address is used twice'});
	});
});

/** Parsed operators' file of one service. */
export type ServiceFile = Readonly<z.infer<typeof ServiceFile>>;

function reportRepeats(values: readonly string[], report: (index: number) => void): void {
	const seen = new Set<string>();
	for (const [index, value] of values.entries()) {
		if (seen.has(value)) {
			report(index);
		}

		seen.add(value);
	}
}
