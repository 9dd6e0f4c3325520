import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {KvStoreStandIn} from '../stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../stand-ins/platform-documents.js';
import {platformNames} from '../stand-ins/platform-names.js';
import {Child} from '../tools/child.js';
import {nextLoopbackAddress} from './next-loopback-address.js';
import {steeringSettingsText} from './steering-settings-text.js';
import {until} from './until.js';

const storePort = 8384;

// Guards against a process that a change of its settings ends while it starts (Fault).
describe('a daemon that starts', () => {
	const folder = mkdtempSync(join(tmpdir(), 'cowslipspar-'));
	const store = new KvStoreStandIn();
	const host = nextLoopbackAddress();
	let daemon: Child | undefined;

	beforeEach(async () => {
		const storeHost = nextLoopbackAddress();
		await store.listen(storeHost, storePort);
		store.write(platformNames.configurationKey, platformDocuments.configuration(3, [platformDocuments.route('read', '/read/')]));
		writeFileSync(join(folder, 'boot.toml'), steeringSettingsText(host, `${storeHost}:${storePort}`, {}));
	});

	afterEach(async () => {
		await daemon?.kill();
		await store.close();
		rmSync(folder, {recursive: true});
	});

	it('goes on when its settings change before it is ready', async () => {
		store.setFaults({mode: 'silent'});
		daemon = await Child.start({
			script: 'dist/platform/start.js', args: [], env: {[platformNames.settingsVariable]: join(folder, 'boot.toml')}, shouldAwaitReady: false,
		});
		await until(() => store.calls.size > 0);
		daemon.signal('SIGHUP');
		store.setFaults({mode: 'none'});
		await until(async () => {
			const status = await request(platformNames.readinessUrl(host)).then(res => res.statusCode).catch(() => 0);
			return status === 200 || daemon?.isRunning === false;
		});
		expect(daemon.isRunning).toBe(true);
	});
});
