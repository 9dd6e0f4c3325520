import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {LinkStandIn} from '../stand-ins/link-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSteeringDaemon} from './start-steering-daemon.js';
import {until} from './until.js';

type Daemon = Awaited<ReturnType<typeof startSteeringDaemon>>;

const storePort = 8384;
/** Number of writes by which the revision before a restore is ahead of the one after it. */
const lostWrites = 60;
const {route, configuration, instance} = platformDocuments;
const configurationOf = (version: number) => configuration(version, [route('read', '/read/')]);

// Guards against configurations that never come into force after the store was restored from an earlier copy.
describe('a store restored from an earlier copy', () => {
	let store: KvStoreStandIn;
	let storeAddress: string;
	let copy: ReturnType<KvStoreStandIn['copy']>;
	let daemons: Daemon[];
	const links: LinkStandIn[] = [];

	beforeEach(async () => {
		daemons = [];
		store = new KvStoreStandIn(2000, 1);
		const host = nextLoopbackAddress();
		storeAddress = `${host}:${storePort}`;
		await store.listen(host, storePort);
		store.write('servers/i-0', instance('127.0.0.1:9'));
		store.write('op/config', configurationOf(3));
		copy = store.copy();
	});

	afterEach(async () => {
		await Promise.all(daemons.map(async daemon => daemon.close()));
		await Promise.all(links.splice(0).map(async link => link.close()));
		await store.close();
	});

	async function startDaemons(count: number): Promise<void> {
		while (daemons.length < count) {
			const link = new LinkStandIn(storeAddress);
			const host = nextLoopbackAddress();
			await link.listen(host, storePort);
			links.push(link);
			daemons.push(await startSteeringDaemon(`${host}:${storePort}`));
		}

		await until(() => daemons.every(({kernel}) => kernel.get('members').membership.candidates().length === count));
	}

	/** Makes writes that the copy lacks, and waits until all daemons know them. */
	async function writeAhead(version: number): Promise<void> {
		for (let count = 0; count < lostWrites; count++) {
			store.write('servers/i-0', instance('127.0.0.1:9', {sequence: count + 2}));
		}

		store.write('op/config', configurationOf(version));
		await untilInForce(version);
	}

	const untilInForce = async (version: number) => until(() => daemons.every(({kernel}) => kernel.get('steering').routes?.version === version));
	const erasOf = () => daemons.map(({kernel}) => kernel.get('replica').items.version.era);

	it('brings a configuration into force that was written after the restore, below the revision that hosts had seen', async () => {
		await startDaemons(2);
		await writeAhead(4);
		store.restore(copy);
		store.write('op/config', configurationOf(5));
		await untilInForce(5);
		expect(erasOf()).toEqual([2, 2]);
	});

	it('brings a configuration into force below the revision from which a waiting watch continues, which exists again', async () => {
		await startDaemons(2);
		await writeAhead(4);
		store.restore(copy, {keepsWatches: true});
		store.write('op/config', configurationOf(5));
		for (let count = 0; count < lostWrites * 2; count++) {
			store.write('servers/i-1', instance('127.0.0.1:9', {sequence: count + 1}));
		}

		await untilInForce(5);
	});

	it('does not take the older configuration of the copy for the one in force', async () => {
		await startDaemons(2);
		await writeAhead(5);
		store.restore(copy);
		await until(() => erasOf().every(era => era === 2));
		expect(daemons.map(({kernel}) => kernel.get('steering').routes?.version)).toEqual([5, 5]);
		store.write('op/config', configurationOf(6));
		await untilInForce(6);
	});

	it('is followed by the hosts that reach it while the watchers are cut off', async () => {
		await startDaemons(4);
		await writeAhead(4);
		for (const [index, {kernel}] of daemons.entries()) {
			if (kernel.get('members').membership.isDelegate()) {
				links[index]!.cut();
			}
		}

		store.restore(copy);
		store.write('op/config', configurationOf(5));
		await untilInForce(5);
	});

	it('is followed through two restores in a row', async () => {
		await startDaemons(2);
		await writeAhead(4);
		store.restore(copy);
		store.write('op/config', configurationOf(5));
		store.restore(copy);
		store.write('op/config', configurationOf(6));
		await untilInForce(6);
		expect(erasOf()).toEqual([3, 3]);
	});

	it('is followed by a host that started from a peer while the store was down', async () => {
		await startDaemons(1);
		await writeAhead(4);
		store.setFaults({mode: 'reset'});
		daemons.push(await startSteeringDaemon(storeAddress, {seeds: [`${daemons[0]!.host}:7200`]}));
		await untilInForce(4);
		store.restore(copy);
		store.setFaults({});
		store.write('op/config', configurationOf(5));
		await untilInForce(5);
	});

	it('is followed when all hosts restart', async () => {
		await startDaemons(2);
		await writeAhead(4);
		store.restore(copy);
		await Promise.all(daemons.splice(0).map(async daemon => daemon.close()));
		await startDaemons(2);
		await untilInForce(3);
		store.writeAgain();
		await untilInForce(4);
	});

	it('gets the entries of the hosts again, under leases of its own', async () => {
		await startDaemons(2);
		const entries = () => daemons.map(({host}) => store.read(`cowslipspar/hosts/edge-${host.replaceAll('.', '-')}`));
		await until(() => entries().every(entry => entry !== undefined));
		store.restore(copy);
		expect(entries()).toEqual([undefined, undefined]);
		await until(() => entries().every(entry => entry !== undefined));
	});
});
