import {describe, it, type TestContext} from 'vitest';
import {HomesSystem} from './homes-system.js';

const withHomes = ['routeWithHome', 'accountWithHome', 'accountWithHomeOnPublicRoute'] as const;
const others = ['withoutHomes', 'anonymous'] as const;
const refused = {status: 503, hasRetryAfter: true, ranIn: []};
const refusedWithHomes = Object.fromEntries(withHomes.map(kind => [kind, refused]));
const othersServed = Object.fromEntries(others.map(kind => [kind, {status: 200}]));

async function startSystem({onTestFinished}: TestContext, daemonCount: number): Promise<HomesSystem> {
	const system = await HomesSystem.start(daemonCount);
	onTestFinished(async () => system.close());
	return system;
}

// Guards against requests that run outside their home regions because a host does not know that these were moved (HOME, CONFIG).
describe.concurrent('requests with homes', () => {
	it('are refused as not run by a host without peers that the store does not answer, which serves all others, until it answers', async context => {
		const {expect} = context;
		const system = await startSystem(context, 1);
		system.links[0]!.cut();
		await system.moveHomes();
		expect(system.versions).toEqual([3]);
		expect(await system.sendAll(system.daemons[0]!, withHomes)).toEqual(refusedWithHomes);
		expect(await system.sendAll(system.daemons[0]!, others)).toMatchObject(othersServed);
		system.links[0]!.mend();
		expect(await system.regionsUntilAnswered(withHomes)).toEqual(['aru']);
	});

	it('are not run without an account on a public route, with the key of one that the host does not know yet', async context => {
		const {expect} = context;
		const system = await startSystem(context, 1);
		system.links[0]!.cut();
		await system.moveHomes();
		expect(await system.send(system.daemons[0]!, 'newAccountOnPublicRoute')).toEqual(refused);
		expect(await system.sendAll(system.daemons[0]!, others)).toMatchObject(othersServed);
		system.links[0]!.mend();
		expect(await system.regionsUntilAnswered(['newAccountOnPublicRoute'])).toEqual(['aru']);
	});

	it('are refused by hosts that reach only each other, and by one that starts from their items, until the store answers one of them', async context => {
		const {expect} = context;
		const system = await startSystem(context, 2);
		for (const link of system.links) {
			link.cut();
		}

		await system.moveHomes();
		await system.startFromPeer();
		expect(system.versions).toEqual([3, 3, 3]);
		for (const daemon of system.daemons.toReversed()) {
			expect(await system.sendAll(daemon, withHomes)).toEqual(refusedWithHomes);
			expect(await system.sendAll(daemon, others)).toMatchObject(othersServed);
		}

		system.links[0]!.mend();
		expect(await system.regionsUntilAnswered(withHomes)).toEqual(['aru']);
	});

	it('are refused by a host that the store answers, while it still receives a large configuration over a narrow link', async context => {
		const {expect} = context;
		const system = await startSystem(context, 1);
		system.links[0]!.setBandwidth(0.5);
		await system.moveHomes({otherRoutes: 800});
		expect(system.versions).toEqual([3]);
		expect(await system.sendAll(system.daemons[0]!, withHomes)).toEqual(refusedWithHomes);
		expect(await system.sendAll(system.daemons[0]!, others)).toMatchObject(othersServed);
		expect(await system.regionsUntilAnswered(withHomes)).toEqual(['aru']);
	});
});
