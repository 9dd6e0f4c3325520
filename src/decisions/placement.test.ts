import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ColdRateLimiter} from './cold-rate-limiter.js';
import {initialRegion} from './initial-region.js';
import {initialReservedCount} from './initial-reserved-count.js';
import {InstanceTable} from './instance-table.js';
import {isMostUrgent} from './is-most-urgent.js';
import {objectId} from './object-id.js';
import {Placement} from './placement.js';
import {regionCapacities} from './region-capacities.js';
import {rendezvousFirst} from './rendezvous-first.js';
import {rendezvousOrder} from './rendezvous-order.js';
import {reservationOrder} from './reservation-order.js';
import {SeededRandom} from './seeded-random.js';

type Options = ConstructorParameters<typeof Placement>[0];
type Request = Parameters<Placement['choose']>[0] & {readonly objectKey: string};
type Entry = ReturnType<InstanceTable['serving']>[number];

const regionOf = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['c-1', 'c']]);
const nowMs = 1000;

/** Chooses the instance for an object's request by the rules of `Placement`, with filters and sorts over all instances of the service. */
function choosePlainly(options: Options, req: Request): {readonly kind: string; readonly id?: string; readonly excessMs?: number; readonly pauseMs?: number} {
	const {table, coldLimiter, region, prioritiesOf} = options;
	const priorities = prioritiesOf(req.service);
	const regional = table.serving(req.service).filter(entry => req.allowedRegions.length === 0 || req.allowedRegions.includes(entry.region));
	const pauses = regional.map(entry => table.notices.pauseMs(entry.instance, nowMs));
	const allowed = regional.filter((entry, index) => pauses[index] === 0 && !req.avoid.has(entry.instance.id));
	const local = allowed.filter(entry => entry.region === region);
	const shareOf = (entry: Entry) => (entry.region === region ? options.coldShare(entry.instance.id) : 0);
	const isUsable = (entry: Entry) => {
		const state = entry.health.state(nowMs);
		return state !== 'closed' && (state === 'open' || req.isRepeatable)
			&& (!table.isCold(entry, nowMs) || coldLimiter.hasRemaining(entry.instance.id, req.coldPerSecond, shareOf(entry), nowMs));
	};

	const reservation = options.reservationOf(req.service);
	const reserved = reservation === undefined
		? new Set(reservationOrder(req.service, local, entry => entry.instance.id).slice(0, initialReservedCount(local.length)).map(entry => entry.instance.id))
		: reservation.instanceIds;
	const hasReserved = reservation !== undefined || (priorities.length > 1 && local.length > 1);
	const intended = hasReserved ? local.filter(entry => reserved.has(entry.instance.id) === (req.priority === (reservation?.priority ?? priorities[0]))) : local;
	const initial = initialRegion(
		req.objectKey,
		region,
		regionCapacities(table.serving(req.service).map(entry => ({region: entry.region, slots: entry.instance.slots})), options.hostsByRegion()),
		isMostUrgent(req.priority, priorities),
	);
	const remote = allowed.filter(entry => entry.region !== region);
	const first = (entries: readonly Entry[]) => rendezvousOrder(req.objectKey, entries, entry => entry.instance.id).find(entry => isUsable(entry));
	const assigned = allowed.find(entry => entry.instance.id === options.assignments.get(objectId(req.service, req.priority, req.objectKey)));
	const preferred = [assigned !== undefined && isUsable(assigned) ? assigned : undefined, first(remote.filter(entry => entry.region === initial)), first(intended), first(local), first(remote)]
		.find(entry => entry !== undefined);
	if (preferred === undefined) {
		const pauseMs = Math.min(...pauses);
		return pauses.length > 0 && pauseMs > 0 ? {kind: 'paused', pauseMs} : {kind: 'none'};
	}

	const waitMsOf = (entry: Entry) => entry.queue.waitMs(Math.max(1, options.hostsByRegion().get(region) ?? 1), nowMs);
	const runMsOf = (entry: Entry) => req.runMs * entry.queue.timeFactor(req.runMs, waitMsOf(entry), nowMs);
	const isNeeded = (entry: Entry) => priorities[0] !== undefined && req.priority > priorities[0] && entry.region === region && (local.length < 2 || !intended.includes(entry));
	const excessMsOf = (entry: Entry) => {
		const slackMs = Math.max(0, req.remainingMs - runMsOf(entry));
		return waitMsOf(entry) - (isNeeded(entry) ? Math.min(slackMs, options.urgentTargetMs(req.service) / 4) : slackMs);
	};

	const take = (entry: Entry) => !table.isCold(entry, nowMs) || coldLimiter.take(entry.instance.id, req.coldPerSecond, shareOf(entry), nowMs);
	if (excessMsOf(preferred) <= 0) {
		return take(preferred) ? {kind: 'instance', id: preferred.instance.id} : {kind: 'none'};
	}

	const [other] = isMostUrgent(req.priority, priorities)
		? local.filter(entry => isUsable(entry) && excessMsOf(entry) <= 0).toSorted((a, b) => waitMsOf(a) + runMsOf(a) - waitMsOf(b) - runMsOf(b))
		: [];
	return other !== undefined && take(other) ? {kind: 'instance', id: other.instance.id} : {kind: 'busy', excessMs: excessMsOf(preferred)};
}

const instances = fc.array(fc.record({
	service: fc.constantFrom('s', 's', 's', 't'),
	zone: fc.constantFrom('a-1', 'a-2', 'b-1', 'c-1'),
	slots: fc.integer({min: 1, max: 4}),
	isDraining: fc.constantFrom(false, false, false, true),
	coldMs: fc.constantFrom(0, 0, 0, 5000),
	failures: fc.constantFrom(0, 0, 0, 1, 1),
	failedMs: fc.constantFrom(0, 900),
	notice: fc.constantFrom('none', 'none', 'none', 'leaving', 'pause'),
	waiting: fc.constantFrom(0, 0, 3, 12, 60),
	timeFactor: fc.constantFrom(undefined, 0.5, 2),
	isRemoved: fc.constantFrom(false, false, false, true),
}), {maxLength: 12});
const requests = fc.array(fc.record({
	key: fc.integer({min: 0, max: 5}),
	priority: fc.integer({min: 0, max: 2}),
	isRepeatable: fc.boolean(),
	allowedRegions: fc.constantFrom([], [], ['a'], ['b', 'c'], ['a', 'c']),
	avoid: fc.uniqueArray(fc.integer({min: 0, max: 11}), {maxLength: 2}),
	remainingMs: fc.constantFrom(100, 400, 2000),
}), {minLength: 1, maxLength: 8});
const circumstances = fc.record({
	assigned: fc.array(fc.tuple(fc.integer({min: 0, max: 2}), fc.integer({min: 0, max: 5}), fc.integer({min: 0, max: 13})), {maxLength: 12}),
	priorities: fc.constantFrom([], [0], [0, 1], [0, 1, 2], [1, 2]),
	reserved: fc.option(fc.record({priority: fc.integer({min: 0, max: 2}), ids: fc.uniqueArray(fc.integer({min: 0, max: 11}))}), {nil: undefined}),
	coldShare: fc.constantFrom(0, 1 / 3),
	hosts: fc.constantFrom(new Map<string, number>(), new Map([['a', 4], ['b', 1], ['d', 2]])),
});

describe('placement', () => {
	it('chooses the same instance, wait and refusal as filters and sorts over all instances, so that hosts of different versions agree on an object', () => {
		const kinds = new Set<string>();
		fc.assert(fc.property(instances, requests, circumstances, (states, sent, {assigned, priorities, reserved, coldShare, hosts}) => {
			const table = new InstanceTable({regionOf});
			for (const [index, state] of states.entries()) {
				const instance = {
					...state, id: `i${index}`, born: 1, address: `10.0.0.${index}:80`,
				};
				table.serving('s');
				table.write(instance, 0);
				const {health, queue} = table.get(instance.id)!;
				for (let count = 0; count < state.failures; count++) {
					health.recordResult('unreachable', state.failedMs);
				}

				queue.recordSend(0);
				queue.recordResponse({
					running: state.slots, waiting: state.waiting, slots: state.slots, ...(state.timeFactor !== undefined && {timeFactor: state.timeFactor}),
				}, 100, 0, 950);
				if (state.notice === 'leaving') {
					table.notices.recordLeaving(instance);
				} else if (state.notice === 'pause') {
					table.notices.recordPause(instance, 500, nowMs);
				}

				if (state.isRemoved) {
					table.serving('s');
					table.remove(instance.id, index % 2 === 0 ? 0 : 500, 0);
				}
			}

			table.expire(nowMs);
			const options = (): Options => ({
				table,
				coldLimiter: new ColdRateLimiter(),
				random: new SeededRandom(1),
				region: 'a',
				hostsByRegion: () => hosts,
				coldShare: () => coldShare,
				assignments: new Map(assigned.map(([priority, key, index]) => [objectId('s', priority, `k${key}`), `i${index}`])),
				prioritiesOf: () => priorities,
				urgentTargetMs: () => 200,
				reservationOf: () => reserved === undefined ? undefined : {priority: reserved.priority, instanceIds: new Set(reserved.ids.map(index => `i${index}`))},
			});
			const placement = new Placement(options());
			const plain = options();
			for (const {key, avoid, ...fields} of sent) {
				const req = {
					...fields, service: 's', objectKey: `k${key}`, avoid: new Set(avoid.map(index => `i${index}`)), coldPerSecond: 6, targetMs: 400, runMs: 60,
				};
				const expected = choosePlainly(plain, req);
				const choice = placement.choose(req, nowMs);
				kinds.add(choice.kind);
				expect(choice.kind === 'instance' ? {kind: choice.kind, id: choice.entry.instance.id} : choice).toEqual(expected);
			}
		}), {numRuns: 2000});
		expect([...kinds].toSorted()).toEqual(['busy', 'instance', 'none', 'paused']);
	});

	it('finds the first eligible candidate of the rendezvous order, also of candidates with the same weight', () => {
		fc.assert(fc.property(fc.string(), fc.uniqueArray(fc.string(), {maxLength: 30}), fc.integer({min: 1, max: 4}), (key, names, step) => {
			const isEligible = (name: string) => name.length % step === 0;
			expect(rendezvousFirst(key, names, name => name, isEligible)).toBe(rendezvousOrder(key, names, name => name).find(name => isEligible(name)));
		}));
	});
});
