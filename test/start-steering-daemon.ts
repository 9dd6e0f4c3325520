import {KvStore} from '../platform/kv-store.js';
import {openEndpoints} from '../platform/endpoints.js';
import {httpDialect} from '../platform/http-dialect.js';
import {readSettings} from '../platform/settings.js';
import {steeringItemCodec} from '../platform/steering-item-codec.js';
import {type Kernel} from '../src/kernel/kernel.js';
import {createSteeringDaemon} from '../src/steering-daemon.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {steeringSettingsText} from './steering-settings-text.js';

type DaemonOptions = Parameters<typeof steeringSettingsText>[2] & {
	/** Loopback address of the daemon; a new one by default. */
	readonly host?: string;
};

type Daemon = {readonly kernel: Kernel; readonly host: string; readonly close: () => Promise<void>};

/** Starts a daemon for published routes on a new loopback address, against the store at `store`. */
export async function startSteeringDaemon(store: string, options: DaemonOptions = {}): Promise<Daemon> {
	const {host = nextLoopbackAddress()} = options;
	const settings = readSettings('boot.toml', steeringSettingsText(host, store, options));
	if (!settings.success) {
		throw new Error(JSON.stringify(settings.error));
	}

	const kernel = createSteeringDaemon({
		settings: settings.data, platform: {openStore: options => new KvStore(options), itemCodec: steeringItemCodec, dialect: httpDialect},
	});
	const started = await kernel.start();
	if (!started.success) {
		throw new Error(started.error.message);
	}

	const closeEndpoints = await openEndpoints(kernel, settings.data.listen);
	return {
		kernel, host, async close() {
			closeEndpoints();
			await kernel.stop();
		},
	};
}
