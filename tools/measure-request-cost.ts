import {
	mkdtempSync, readdirSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {SeededRandom} from '../src/decisions/seeded-random.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformFleet} from './platform-fleet.js';
import {platformScenario} from './platform-scenario.js';
import {processUsage} from './process-usage.js';
import {profileSteps} from './profile-steps.js';

type CostOptions = {
	/** Built daemon of another version, which is measured at the same time on half of the hosts. */
	readonly daemonScript: string | undefined;
};

type Usage = {readonly cpuMs: number; readonly connections: number};
type Counts = {sent: number; answered: number};

const root = fileURLToPath(new URL('../..', import.meta.url));
const network = '127.63';
const zones = ['dsm-a', 'dsm-b', 'dsm-c', 'dsm-d', 'dsm-e', 'dsm-f'];
const otherVersionHosts = new Set(['edge-dsm-d-1', 'edge-dsm-e-1', 'edge-dsm-f-1']);
/** Hosts that are profiled, one of each version. */
const profiledHosts = new Set(['edge-dsm-a-1', 'edge-dsm-d-1']);
const kinds = [
	{
		service: 'catalogue', path: '/lots/', method: 'GET', fields: {},
	},
	{
		service: 'ledger', path: '/settle/', method: 'POST', fields: {...platformDocuments.nonRepeatable, priority: 0},
	},
	{
		service: 'archive', path: '/papers/', method: 'GET', fields: {priority: 2},
	},
] as const;
const services = kinds.map(kind => kind.service);
const routes = kinds.map(({service, path, fields}) => platformDocuments.route(service, path, {service, ...fields}));
const instancesPerZone = 11;
/** Rate of each pair of a host and an instance. */
const perSecondAndPair = 0.2;
const objectCount = 300;
const deadlineMs = 2000;
/** Time from the start of a daemon until it accepts requests; the profile begins then, and the parts that are read last longer. */
const readyMs = 700;
/** Time after the start until compilation and the joining of members no longer add to the time at rest. */
const settleMs = 12_000;
const restMs = 12_000;
const warmUpMs = 5000;
const loadMs = 20_000;

/**
 * Measures the processor time that a request costs on a host with many instances and few requests to each: the time under load less
 * the time at rest. Two hosts are profiled, which gives the parts of the steps; the others give the total.
 */
export async function measureRequestCost({daemonScript}: CostOptions): Promise<Record<string, unknown>> {
	const folder = mkdtempSync(join(tmpdir(), 'request-cost-'));
	const daemonScriptOf = (id: string) => (otherVersionHosts.has(id) ? daemonScript : undefined);
	const fleet = new PlatformFleet({
		root,
		logFolder: undefined,
		network,
		zones,
		services,
		instancesPerZone,
		daemonScriptOf,
		nodeOptionsOf: id => (profiledHosts.has(id) ? ['--cpu-prof', `--cpu-prof-dir=${join(folder, id)}`] : []),
	});
	try {
		await fleet.startStandIns(platformDocuments.configuration(1, routes, services));
		await fleet.startDaemons();
		const profileStartMs = performance.now() - readyMs;
		await delay(settleMs);
		const beforeRest = usages(fleet);
		await delay(restMs);
		const afterRest = usages(fleet);
		const counts = fleet.hosts.map(() => ({sent: 0, answered: 0}));
		const sending = Promise.all(fleet.hosts.map(async ({zone}, index) => sendFrom(fleet, zone, new SeededRandom(index + 1), counts[index]!)));
		await delay(warmUpMs);
		const sentBefore = counts.map(count => count.sent);
		const beforeLoad = usages(fleet);
		const fromMs = performance.now() - profileStartMs;
		await delay(loadMs);
		const afterLoad = usages(fleet);
		const untilMs = performance.now() - profileStartMs;
		const sentCounts = counts.map((count, index) => count.sent - sentBefore[index]!);
		await sending;
		const costs = fleet.hosts.map(({id}, index) => {
			const restCoreShare = (afterRest[index]!.cpuMs - beforeRest[index]!.cpuMs) / restMs;
			const loadCoreShare = (afterLoad[index]!.cpuMs - beforeLoad[index]!.cpuMs) / loadMs;
			return {
				id, restCoreShare, loadCoreShare, msPerRequest: (loadCoreShare - restCoreShare) * loadMs / sentCounts[index]!,
			};
		});
		const stepsOf = async (id: string) => {
			await fleet.stopDaemon(id);
			const profile = readdirSync(join(folder, id)).find(name => name.endsWith('.cpuprofile'));
			const steps = profileSteps(join(folder, id, profile!), `${daemonScriptOf(id) ?? join(root, 'target', 'cowslipspar.mjs')}.map`, fromMs, untilMs);
			const sent = sentCounts[fleet.hosts.findIndex(host => host.id === id)]!;
			return Object.fromEntries(Object.entries(steps).toSorted((a, b) => b[1] - a[1]).map(([name, totalMs]) => [name, round(totalMs / sent)]));
		};

		const summaryOf = async (isOther: boolean) => {
			const measured = costs.filter(({id}) => otherVersionHosts.has(id) === isOther && !profiledHosts.has(id));
			return {
				restCoreShare: measured.map(cost => round(cost.restCoreShare)),
				loadCoreShare: measured.map(cost => round(cost.loadCoreShare)),
				msPerRequest: measured.map(cost => round(cost.msPerRequest)),
				profiledMsPerRequestByStep: await stepsOf([...profiledHosts].find(id => otherVersionHosts.has(id) === isOther)!),
			};
		};

		return {
			instances: fleet.instances.length,
			requests: sum(sentCounts),
			answeredShare: round(sum(counts.map(count => count.answered)) / sum(counts.map(count => count.sent))),
			connectionsPerRequest: round((afterLoad[0]!.connections - beforeLoad[0]!.connections) / sum(sentCounts)),
			[daemonScript === undefined ? 'firstHosts' : 'thisVersion']: await summaryOf(false),
			[daemonScript === undefined ? 'otherHosts' : 'otherVersion']: await summaryOf(true),
		};
	} finally {
		await fleet.close();
		rmSync(folder, {recursive: true, force: true});
	}
}

/** Returns the processor time of each host, and the number of connections that all instances have accepted until now. */
function usages(fleet: PlatformFleet): Usage[] {
	const connections = sum(fleet.instances.map(({standIn}) => standIn.acceptedConnections));
	return fleet.hosts.map(({id}) => ({cpuMs: processUsage(fleet.daemon(id).pid).cpuMs, connections}));
}

async function sendFrom(fleet: PlatformFleet, zone: string, random: SeededRandom, counts: Counts): Promise<void> {
	const client = fleet.createClient(zone, platformScenario.host);
	const perSecond = perSecondAndPair * fleet.instances.length;
	const endMs = performance.now() + warmUpMs + loadMs;
	const inFlight = new Set<Promise<void>>();
	let nextMs = performance.now();
	while (nextMs < endMs) {
		nextMs += -Math.log(1 - random.next()) * 1000 / perSecond;
		await delay(Math.max(0, nextMs - performance.now()));
		const {path, method} = kinds[random.below(kinds.length)]!;
		const id = randomUUID();
		counts.sent++;
		const sending = client.send({
			id, method, path: `${path}${id}`, objectKey: `k${random.below(objectCount)}`, deadlineMs, body: method === 'POST' ? id : '',
		}).then(response => {
			counts.answered += response.kind === 'answered' && response.status === 200 ? 1 : 0;
		});
		inFlight.add(sending);
		void sending.finally(() => inFlight.delete(sending));
	}

	await Promise.all(inFlight);
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
