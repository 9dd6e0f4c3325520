import {
	mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as httpRequest, type IncomingMessage} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {KvStoreStandIn} from '../../stand-ins/kv-store-stand-in.js';
import {platformDocuments} from '../../stand-ins/platform-documents.js';
import {platformNames} from '../../stand-ins/platform-names.js';
import {Child} from '../../tools/child.js';
import {nextLoopbackAddress} from '../next-loopback-address.js';
import {steeringSettingsText} from '../steering-settings-text.js';
import {until} from '../until.js';
import {SizedInstance} from './sized-instance.js';

type HostOptions = {
	/** Memory of the host in megabytes, for one that is started as the deploy file says; without it, the heap's limit is in proportion to the usual memory. */
	readonly memoryMb?: number;
};

type HostReport = {
	readonly isRunning: boolean;
	/** Whether the peak of the resident memory is within the memory of the host. */
	readonly isWithinMemory: boolean;
	/** Whether the open descriptors are within those of the host that are not reserved for files. */
	readonly isWithinDescriptors: boolean;
	/** Whether an ordinary request on a new connection was answered by an instance. */
	readonly isServing: boolean;
};

const storePort = 8384;
const instancePort = 8080;
const instanceCount = 4;
const bytesPerKilobyte = 1024;
/** Size of the host, as the platform states it. The smallest host of a deployment has 202 MB and 2,069 descriptors. */
const capacity = {
	cpuShare: 1, cores: 1, memoryMb: 160, maxDescriptors: 600, linkMbps: 700,
} as const;
/** Limit of the heap: the same share of the memory as on the smallest host of a deployment, 160 of 202 MB. */
const maxOldSpaceMb = 126;
/** Descriptors that the platform reserves for files. */
const reservedDescriptors = 200;
/** Number of tries of the ordinary request: under load a host may close a connection or refuse, and clients try again. */
const maxTries = 20;
const tryTimeoutMs = 2000;
const pauseBetweenTriesMs = 250;
const samplePauseMs = 50;
const settlePauseMs = 1000;
const maxSettleChecks = 10;
const deployFile = 'deploy/system.toml';
const {route, nonRepeatable, configuration, instance: instanceEntry} = platformDocuments;

/** A built daemon on a small host, with a store and instances on loopback addresses. */
export class CrowdHost {
	/** Builds the daemon and starts it. */
	static async start({memoryMb}: HostOptions = {}): Promise<CrowdHost> {
		const bundling = await Child.start({script: 'deploy/bundle.js', args: [], shouldAwaitReady: false});
		if (await bundling.exited !== 0) {
			throw new Error('building the daemon failed');
		}

		const host = memoryMb === undefined ? new CrowdHost(capacity.memoryMb, [`--max-old-space-size=${maxOldSpaceMb}`]) : new CrowdHost(memoryMb, deployedNodeOptions(memoryMb));
		await host.#start();
		return host;
	}

	readonly address = nextLoopbackAddress();
	readonly ports = {clients: 8381, directory: 8383, readiness: 8388} as const;
	readonly instances = Array.from({length: instanceCount}, () => new SizedInstance());
	readonly #folder = mkdtempSync(join(tmpdir(), 'cowslipspar-'));
	readonly #logFile = join(this.#folder, 'log');
	readonly #store = new KvStoreStandIn();
	#daemon: Child | undefined;
	/** Peaks up to the latest sample, which remain known after the process has ended. */
	#peakKilobytes = 0;
	#peakDescriptors = 0;
	#sampling: NodeJS.Timeout | undefined;
	#sentRequests = 0;
	readonly #memoryMb: number;
	readonly #nodeOptions: readonly string[];

	private constructor(memoryMb: number, nodeOptions: readonly string[]) {
		this.#memoryMb = memoryMb;
		this.#nodeOptions = nodeOptions;
	}

	/** Returns what a crowd may not change. The ordinary request is sent while the crowd is still connected. */
	async report(): Promise<HostReport> {
		await this.#untilSettled();
		const isServing = await this.#isServing();
		const isRunning = this.#daemon?.isRunning === true;
		this.#samplePeaks();
		const ending = isRunning ? 'running' : `ended: ${/FATAL ERROR.*/.exec(readFileSync(this.#logFile, 'utf8'))?.[0] ?? 'unknown cause'}`;
		console.log(`peak ${Math.round(this.#peakKilobytes / bytesPerKilobyte)} MB, ${this.#peakDescriptors} descriptors, ${isServing ? 'serving' : 'not serving'}, ${ending}`);
		return {
			isRunning,
			isWithinMemory: this.#peakKilobytes <= this.#memoryMb * bytesPerKilobyte,
			isWithinDescriptors: this.#peakDescriptors <= capacity.maxDescriptors - reservedDescriptors,
			isServing,
		};
	}

	async close(): Promise<void> {
		clearInterval(this.#sampling);
		await this.#daemon?.kill();
		await Promise.all(this.instances.map(async instance => instance.close()));
		await this.#store.close();
		rmSync(this.#folder, {recursive: true});
	}

	async #start(): Promise<void> {
		const storeHost = nextLoopbackAddress();
		await this.#store.listen(storeHost, storePort);
		await Promise.all(this.instances.map(async (instance, index) => {
			const host = nextLoopbackAddress();
			await instance.listen(host, instancePort);
			this.#store.write(platformNames.instanceKey(`i-${index}`), instanceEntry(`${host}:${instancePort}`, {slots: 64}));
		}));
		this.#store.write(platformNames.configurationKey, configuration(3, [
			route('read', '/read/', {timeout_ms: 8000, target_latency_ms: 8000}), route('write', '/write/', {...nonRepeatable, timeout_ms: 8000, target_latency_ms: 8000}),
		], undefined, {
			max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		}));
		const settings = join(this.#folder, 'boot.toml');
		writeFileSync(settings, steeringSettingsText(this.address, `${storeHost}:${storePort}`, {capacity: {...capacity, memoryMb: this.#memoryMb}}));
		this.#daemon = await Child.start({
			script: 'target/cowslipspar.mjs',
			args: [],
			nodeOptions: this.#nodeOptions,
			env: {[platformNames.settingsVariable]: settings},
			shouldAwaitReady: false,
			logFile: this.#logFile,
		});
		this.#sampling = setInterval(() => {
			this.#samplePeaks();
		}, samplePauseMs);
		await until(async () => await this.#statusOf(this.ports.readiness, '/-/readyz') === 200);
		await until(async () => this.#isServing());
	}

	/** Sends an ordinary request, again if there is no response of an instance, as clients do. */
	async #isServing(): Promise<boolean> {
		for (let tries = 0; tries < maxTries && this.#daemon?.isRunning === true; tries++) {
			if (await this.#statusOf(this.ports.clients, '/read/ordinary') === 200) {
				return true;
			}

			await new Promise(resolve => {
				setTimeout(resolve, pauseBetweenTriesMs);
			});
		}

		return false;
	}

	async #statusOf(port: number, path: string): Promise<number | undefined> {
		this.#sentRequests++;
		const headers = {
			host: 'shop.example', 'x-request-id': `ordinary-${this.#sentRequests}`, 'x-deadline-ms': String(tryTimeoutMs), 'x-affinity-key': 'ordinary',
		};
		return new Promise(resolve => {
			httpRequest({
				host: this.address, port, path, agent: false, headers, signal: AbortSignal.timeout(tryTimeoutMs),
			}, (res: IncomingMessage) => {
				res.resume().on('close', () => {
					resolve(res.statusCode);
				}).on('error', () => undefined);
			}).on('error', () => {
				resolve(undefined);
			}).end();
		});
	}

	/** Waits until the daemon has accepted the connections that the system holds for it: it accepts one in a turn of its loop. */
	async #untilSettled(): Promise<void> {
		for (let descriptors = -1, checks = 0; descriptors !== this.#peakDescriptors && checks < maxSettleChecks; checks++) {
			descriptors = this.#peakDescriptors;
			await new Promise(resolve => {
				setTimeout(resolve, settlePauseMs);
			});
		}
	}

	#samplePeaks(): void {
		if (this.#daemon?.isRunning === true) {
			const text = readFileSync(`/proc/${this.#daemon.pid}/status`, 'utf8');
			this.#peakKilobytes = Number(/^VmHWM:\s+(\d+) kB/m.exec(text)?.[1] ?? this.#peakKilobytes);
			this.#peakDescriptors = Math.max(this.#peakDescriptors, readdirSync(`/proc/${this.#daemon.pid}/fd`).length);
		}
	}
}

/** Returns the options of Node.js with which the deploy file starts a daemon on a host. */
function deployedNodeOptions(memoryMb: number): string[] {
	const [, words = ''] = /^run = "node (.*)"$/m.exec(readFileSync(deployFile, 'utf8')) ?? [];
	return words.replaceAll('{{limits.memory_mb}}', String(memoryMb)).split(' ').filter(word => word.startsWith('--'));
}
