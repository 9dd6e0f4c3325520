import {
	describe, expect, it,
} from 'vitest';
import {nextLoopbackAddress} from '../../test/next-loopback-address.js';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {Membership} from '../decisions/membership.js';
import {SeededRandom} from '../decisions/seeded-random.js';
import {Lifecycle} from '../kernel/lifecycle.js';
import {Logger} from './logger.js';
import {MembersService} from './members-service.js';
import {Metrics} from './metrics.js';
import {PeerClient} from './peer-client.js';

const memberAt = (id: string, address: string) => ({
	id, region: 'dsm', zone: 'dsm-a', boot: 'b1', callers: `${address}:7000`, peers: `${address}:7001`,
});

describe('members service', () => {
	it('sends nothing when effects are run after the service has closed', async () => {
		const membership = new Membership({
			periodMs: 500, probeTimeoutMs: 250, suspicionPeriods: 3, pauseLimitMs: 2000,
		}, memberAt('edge-1', nextLoopbackAddress()), new SeededRandom(1));
		const metrics = new Metrics();
		const members = new MembersService({
			membership,
			clock: monotonicClock,
			logger: new Logger('error', {}),
			metrics,
			hostList: {fetch: async () => ({success: true, data: []})},
			peerClient: new PeerClient(monotonicClock, 1000),
			tickMs: 100,
			hostListPollMs: 1000,
		});
		const lifecycle = new Lifecycle();
		await members.start(lifecycle);
		members.exchange([{
			member: memberAt('edge-2', nextLoopbackAddress()), incarnation: 0, status: 'alive', isLeaving: false,
		}]);
		await lifecycle.close();
		const sentBefore = metrics.render();
		const effects = membership.setVersion({era: 0, revision: 7});
		expect(effects.some(effect => effect.kind === 'send')).toBe(true);
		members.run(effects);
		expect(metrics.render()).toBe(sentBefore);
	});
});
