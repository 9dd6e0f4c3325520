import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import process from 'node:process';

type ChildOptions = {
	readonly script: string;
	readonly args: readonly string[];
	/** Variables beside this process's own. */
	readonly env?: Readonly<Record<string, string>>;
	/** File for what the child writes; nothing is kept without one. */
	readonly logFile?: string;
	/** Waits for a line `ready` on standard output. */
	readonly waitsForReady: boolean;
};

/** Children that may still run; none outlives its tool, unless that is killed outright. */
const running = new Set<ChildProcess>();
const endingSignals = {SIGINT: 130, SIGTERM: 143, SIGHUP: 129} as const;

process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGCONT');
		child.kill('SIGKILL');
	}
});
for (const [signal, code] of Object.entries(endingSignals)) {
	process.once(signal, () => {
		process.exit(code);
	});
}

/** One process started by a tool; only this handle ends it. */
export class Child {
	/** Starts a process with this Node.js. */
	static async start(options: ChildOptions): Promise<Child> {
		const isLogged = options.logFile !== undefined;
		const child = spawn(process.execPath, [options.script, ...options.args], {
			stdio: ['ignore', options.waitsForReady || isLogged ? 'pipe' : 'ignore', isLogged ? 'pipe' : 'ignore'], env: {...process.env, ...options.env},
		});
		if (options.logFile !== undefined) {
			const file = createWriteStream(options.logFile, {flags: 'a'});
			child.stdout?.pipe(file, {end: false});
			child.stderr?.pipe(file, {end: false});
		}

		const handle = new Child(child);
		if (options.waitsForReady) {
			await new Promise<void>((resolve, reject) => {
				child.stdout?.once('data', () => {
					resolve();
				});
				child.once('exit', code => {
					reject(new Error(`${options.script} ended with ${code} before it was ready`));
				});
			});
		}

		return handle;
	}

	readonly exited: Promise<number>;
	readonly #process: ChildProcess;

	private constructor(child: ChildProcess) {
		this.#process = child;
		running.add(child);
		this.exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				running.delete(child);
				resolve(code ?? (signal === 'SIGKILL' ? 137 : 1));
			});
		});
	}

	get pid(): number {
		return this.#process.pid ?? 0;
	}

	get isRunning(): boolean {
		return this.#process.exitCode === null && this.#process.signalCode === null;
	}

	/** Sends a signal to this process alone. */
	signal(name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
		if (this.isRunning) {
			this.#process.kill(name);
		}
	}

	/** Ends the process if it still runs. */
	async kill(): Promise<void> {
		if (this.isRunning) {
			this.#process.kill('SIGCONT');
			this.#process.kill('SIGKILL');
			await this.exited;
		}
	}
}
