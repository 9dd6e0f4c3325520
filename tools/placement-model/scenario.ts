import {z} from 'zod';

const Share = z.number().min(0).max(1);
const Name = z.string().min(1);
const Timed = {
	/** Start, in seconds from the first request. */
	at: z.number().min(0),
	/** Duration in seconds; without one, the event lasts until the end. */
	for: z.number().positive().optional(),
};

const Kind = z.strictObject({
	name: Name,
	service: Name,
	/** 0 is the most urgent. */
	priority: z.int().min(0),
	isRepeatable: z.boolean().default(true),
	/** Requests per second of all regions together. */
	perSecond: z.number().positive(),
	/** Time of a run at an instance that is not warm for the object, in milliseconds. */
	workMs: z.number().positive(),
	/** Share of that time that a run takes at an instance that is warm for the object. */
	warmShare: Share.default(0.3),
	targetMs: z.number().positive(),
	timeoutMs: z.number().positive(),
	/** Time for which a client waits, in milliseconds. */
	deadlineMs: z.number().positive(),
	/** Number of objects of all regions together; each belongs to the clients of one region. */
	objects: z.int().min(1),
	maxAttempts: z.int().min(1).default(2),
});

const Event = z.discriminatedUnion('kind', [
	/** A share of a region's clients connects to another region. */
	z.strictObject({
		kind: z.literal('shift'), from: Name, to: Name, share: Share, ...Timed,
	}),
	/** All instances of a region end without notice. */
	z.strictObject({kind: z.literal('lose'), region: Name, ...Timed}),
	/** Nothing more is to be sent to the instances of a zone. */
	z.strictObject({kind: z.literal('evacuate'), zone: Name, ...Timed}),
	/** Instances of a service are added in a region. */
	z.strictObject({
		kind: z.literal('add'), service: Name, region: Name, count: z.int().min(1), ...Timed,
	}),
	/** The requests of a kind come `factor` times as often. */
	z.strictObject({
		kind: z.literal('flood'), requests: Name, factor: z.number().positive(), ...Timed,
	}),
	/** The first instances of a service in a region take `factor` times as long. */
	z.strictObject({
		kind: z.literal('slow'), service: Name, region: Name, count: z.int().min(1), factor: z.number().min(1), ...Timed,
	}),
]);

/** A load for the model of placement: regions, services, kinds of requests, and what happens to them. */
export const Scenario = z.strictObject({
	name: Name,
	/** Duration in seconds of virtual time. */
	seconds: z.number().positive(),
	/** Time from the start of the hosts to the first request, in seconds. */
	leadSeconds: z.number().min(0).default(10),
	/** One-way latencies in milliseconds: within a region, between regions, and between clients and hosts. */
	latencyMs: z.strictObject({region: z.number().min(0), regions: z.number().min(0), clients: z.number().min(0)}),
	/** Change of the load over time, different in phase for each region: it rises and falls by `swing` of its mean. */
	wave: z.strictObject({swing: Share, periodSeconds: z.number().positive()}).optional(),
	regions: z.array(z.strictObject({
		name: Name,
		zones: z.int().min(1).default(2),
		hosts: z.int().min(1),
		/** Share of the requests that the region's clients send. */
		traffic: Share,
	})).min(1),
	services: z.array(z.strictObject({
		name: Name,
		/** Number of requests that an instance runs at the same time, and that may wait there. */
		slots: z.int().min(1),
		queue: z.int().min(0),
		/** Number of objects that an instance stays warm for. */
		warmObjects: z.int().min(1),
		/** Number of instances by region. */
		instances: z.record(Name, z.int().min(0)),
	})).min(1),
	kinds: z.array(Kind).min(1),
	events: z.array(Event).default([]),
});

/** A load for the model of placement. */
export type Scenario = Readonly<z.infer<typeof Scenario>>;
