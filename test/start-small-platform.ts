import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {PlatformInstanceStandIn} from '../stand-ins/platform-instance-stand-in.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {startSteeringDaemon} from './start-steering-daemon.js';

type SmallPlatform = {
	readonly store: KvStoreStandIn;
	readonly instance: PlatformInstanceStandIn;
	readonly instanceAddress: string;
	readonly daemon: Awaited<ReturnType<typeof startSteeringDaemon>>;
	/** Closes the stand-ins, and the daemon unless the test stopped it. */
	readonly close: (options?: {readonly isDaemonStopped?: boolean}) => Promise<void>;
};

type SmallPlatformOptions = {
	readonly routes: Parameters<typeof platformDocuments.configuration>[1];
	readonly graceSeconds?: number;
};

/** Starts a store, one instance (`servers/i-0`) and a daemon, each on an address of its own. */
export async function startSmallPlatform({routes, graceSeconds}: SmallPlatformOptions): Promise<SmallPlatform> {
	const store = new KvStoreStandIn();
	const storeHost = nextLoopbackAddress();
	await store.listen(storeHost, 8384);
	const instance = new PlatformInstanceStandIn();
	const instanceHost = nextLoopbackAddress();
	await instance.listen(instanceHost, 8080);
	const instanceAddress = `${instanceHost}:8080`;
	store.write('servers/i-0', platformDocuments.instance(instanceAddress));
	store.write('op/config', platformDocuments.configuration(3, routes));
	const daemon = await startSteeringDaemon(`${storeHost}:8384`, graceSeconds === undefined ? {} : {graceSeconds});
	return {
		store, instance, instanceAddress, daemon, async close({isDaemonStopped = false} = {}) {
			if (!isDaemonStopped) {
				await daemon.close();
			}

			await instance.close();
			await store.close();
		},
	};
}
