import {describe, expect, it} from 'vitest';
import {CrashReport} from '../contracts/crash-report.js';
import {type CrashReportAudience} from '../contracts/crash-report-audience.js';
import {type Member} from '../contracts/member.js';
import {Lifecycle} from '../kernel/lifecycle.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {Metrics} from './metrics.js';
import {type PeerClient} from './peer-client.js';
import {QuarantineService} from './quarantine-service.js';

type Call = {readonly from: string; readonly to: string; readonly reports: readonly CrashReport[]; readonly audience: CrashReportAudience};

const regions = ['north', 'south', 'west'];
const hostsPerRegion = 6;

/** Number of hosts that other regions know of each region. */
const knownHostsPerRegion = 3;

const host = (region: string, index: number): Member => ({
	id: `${region}-${index}`, boot: 'b', region, zone: `${region}-a`, callers: `${region}-${index}:1`, peers: `${region}-${index}:2`,
});

/** Hosts that call each other in this process. */
function createFleet() {
	const calls: Call[] = [];
	const down = new Set<string>();
	const services = new Map<string, QuarantineService>();
	const hosts = regions.flatMap(region => Array.from({length: hostsPerRegion}, (_, index) => host(region, index)));
	const create = (self: Member): QuarantineService => {
		const local = hosts.filter(({region}) => region === self.region);
		return new QuarantineService({
			clock: {nowMs: () => 1000},
			logger: {warn: () => undefined, info: () => undefined, debug: () => undefined} as unknown as Logger,
			metrics: new Metrics(),
			members: {
				membership: {
					self,
					alive: () => local,
					candidates: () => local,
					otherRegions: () => regions.filter(region => region !== self.region),
					hostsOf: (region: string) => hosts.filter(other => other.region === region).slice(0, knownHostsPerRegion),
				},
				isSelf: (member: Member) => member.id === self.id,
			} as unknown as MembersService,
			peerClient: {
				control: (address: string) => ({
					knownCrashReports: {
						async query() {
							const [to] = address.split(':');
							if (down.has(to!)) {
								throw new Error('unreachable');
							}

							return services.get(to!)!.known();
						},
					},
					crashReports: {
						async mutate({reports, audience}: Pick<Call, 'reports' | 'audience'>) {
							const [to] = address.split(':');
							calls.push({
								from: self.id, to: to!, reports, audience,
							});
							if (down.has(to!)) {
								throw new Error('unreachable');
							}

							await services.get(to!)!.receiveCrashReports(reports, audience);
						},
					},
				}),
			} as unknown as PeerClient,
			collectMs: 5,
		});
	};

	for (const self of hosts) {
		services.set(self.id, create(self));
	}

	const ids = hosts.map(({id}) => id);
	return {
		/** Replaces the process of a host by a new one, which stops asking others at the end of the lifecycle. */
		restart(id: string, lifecycle: Lifecycle) {
			services.set(id, create(hosts.find(item => item.id === id)!));
			services.get(id)!.start(lifecycle);
		},
		calls, down, ids, service: (id: string) => services.get(id)!,
		reportedAt: (fingerprint: string) => ids.filter(id => services.get(id)!.lostInstances(fingerprint).length > 0),
	};
}

describe('QuarantineService', () => {
	it('shares a crash report with every host of all regions', async () => {
		const {service, ids, reportedAt} = createFleet();
		await service('south-4').reportCrash('f', 'ledger', 'i-1');
		expect(reportedAt('f')).toEqual(ids);
	});

	it('makes fewer calls than requests were lost when hosts of all regions lose many at once', async () => {
		const {calls, ids, service, reportedAt} = createFleet();
		const lost = ids.flatMap(id => Array.from({length: 10}, (_, index) => ({id, fingerprint: `${id}/${index}`})));
		await Promise.all(lost.map(async ({id, fingerprint}) => service(id).reportCrash(fingerprint, 'ledger', 'i-1')));
		expect(reportedAt('west-5/9')).toEqual(ids);
		expect(calls.length).toBeLessThan(lost.length);
	});

	it('names no more instances in a report than its receiver accepts', async () => {
		const {calls, service} = createFleet();
		await Promise.all(Array.from({length: 20}, async (_, index) => service('south-4').reportCrash('f', 'ledger', `i-${index}`)));
		expect(calls.length).toBeGreaterThan(0);
		expect(calls.flatMap(({reports}) => reports).filter(report => !CrashReport.safeParse(report).success)).toEqual([]);
	});

	it('quarantines a request everywhere after it crashed instances that hosts of different regions used', async () => {
		const {ids, service} = createFleet();
		await Promise.all([service('north-1').reportCrash('f', 'ledger', 'i-1'), service('west-2').reportCrash('f', 'ledger', 'i-2')]);
		expect(ids.filter(id => service(id).isBlocked('f'))).toEqual(ids);
	});

	// Guards against a request that crashes instances and is passed on again by each host that was restarted (BUDGET).
	it('refuses at a host that is started again what the others refuse, also if the first ones that it asks are down', async () => {
		const fleet = createFleet();
		const lifecycle = new Lifecycle();
		await Promise.all([fleet.service('north-1').reportCrash('f', 'ledger', 'i-1'), fleet.service('west-2').reportCrash('f', 'ledger', 'i-2')]);
		for (const index of [0, 1, 2]) {
			fleet.down.add(`south-${index}`);
		}

		fleet.restart('south-4', lifecycle);
		expect(fleet.service('south-4').isBlocked('f')).toBe(false);
		await expect.poll(() => fleet.service('south-4').isBlocked('f'), {timeout: 10_000}).toBe(true);
		await lifecycle.close();
	});

	it('shares reports while the collector of the region is down', async () => {
		const fleet = createFleet();
		await fleet.service('south-4').reportCrash('f', 'ledger', 'i-1');
		const collector = fleet.calls.find(({from}) => from === 'south-4')!.to;
		fleet.down.add(collector);
		await fleet.service('south-4').reportCrash('g', 'ledger', 'i-1');
		const isReachable = (id: string) => id !== collector;
		expect(fleet.reportedAt('g').filter(id => isReachable(id))).toEqual(fleet.ids.filter(id => isReachable(id)));
	});

	it('shares reports while no other host of the region that may be its collector can be reached', async () => {
		const {down, ids, service, reportedAt} = createFleet();
		for (const id of ids.filter(other => other.startsWith('south') && other !== 'south-4')) {
			down.add(id);
		}

		await service('south-4').reportCrash('f', 'ledger', 'i-1');
		expect(reportedAt('f')).toEqual(ids.filter(id => !down.has(id)));
	});

	it('clears a request at every host after a complete response', async () => {
		const {service, reportedAt} = createFleet();
		await service('south-4').reportCrash('f', 'ledger', 'i-1');
		service('north-2').clearAfterResponse('f', 'ledger');
		await expect.poll(() => reportedAt('f')).toEqual([]);
	});

	it('sends nothing for a request that another instance completes before its report is sent', async () => {
		const {calls, service} = createFleet();
		const reported = service('south-4').reportCrash('f', 'ledger', 'i-1');
		service('south-4').clearAfterResponse('f', 'ledger');
		await reported;
		expect(calls).toEqual([]);
	});

	it('clears a request at other hosts that completes, is lost again and completes again before anything is sent', async () => {
		const {service, reportedAt} = createFleet();
		await service('north-2').reportCrash('f', 'ledger', 'i-1');
		service('south-4').clearAfterResponse('f', 'ledger');
		const reported = service('south-4').reportCrash('f', 'ledger', 'i-2');
		service('south-4').clearAfterResponse('f', 'ledger');
		await reported;
		await expect.poll(() => reportedAt('f')).toEqual([]);
	});

	it('receives the reports of hosts of another region while its own is being collected', async () => {
		const {ids, service} = createFleet();
		const reported = service('south-0').reportCrash('f', 'ledger', 'i-1');
		await service('south-0').receiveCrashReports([{
			fingerprint: 'f', service: 'ledger', instances: ['i-2'], isCleared: false,
		}], 'region');
		await reported;
		expect(ids.filter(id => service(id).isBlocked('f'))).toEqual(ids);
	});
});
