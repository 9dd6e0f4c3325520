import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import process from 'node:process';

type ChildOptions = {
	readonly script: string;
	readonly args: readonly string[];
	/** Options of Node.js, which stand before the script. */
	readonly nodeOptions?: readonly string[];
	/** Environment variables added to those of this process. */
	readonly env?: Readonly<Record<string, string>>;
	/** File to which the child's output is appended; without one the output is discarded. */
	readonly logFile?: string;
	/** Waits for the first output on standard output, such as a line `ready`. */
	readonly shouldAwaitReady: boolean;
};

/** Children that may still run. They are killed when the tool exits, unless the tool itself is killed by SIGKILL. */
const running = new Set<ChildProcess>();
const exitCodeBySignal = {SIGINT: 130, SIGTERM: 143, SIGHUP: 129} as const;

process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGCONT');
		child.kill('SIGKILL');
	}
});
for (const [signal, code] of Object.entries(exitCodeBySignal)) {
	process.once(signal, () => {
		process.exit(code);
	});
}

/** Handle of one process that a tool started. The process is ended only through this handle or when the tool exits. */
export class Child {
	/** Starts a script with the Node.js executable of this process. */
	static async start(options: ChildOptions): Promise<Child> {
		const isLogged = options.logFile !== undefined;
		const child = spawn(process.execPath, [...(options.nodeOptions ?? []), options.script, ...options.args], {
			stdio: ['ignore', options.shouldAwaitReady || isLogged ? 'pipe' : 'ignore', isLogged ? 'pipe' : 'ignore'], env: {...process.env, ...options.env},
		});
		if (options.logFile !== undefined) {
			const file = createWriteStream(options.logFile, {flags: 'a'});
			child.stdout?.pipe(file, {end: false});
			child.stderr?.pipe(file, {end: false});
		}

		const handle = new Child(child);
		if (options.shouldAwaitReady) {
			await new Promise<void>((resolve, reject) => {
				child.stdout?.once('data', () => {
					resolve();
				});
				child.once('exit', code => {
					reject(new Error(`${options.script} exited with code ${code} before it was ready`));
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
	signal(name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
		if (this.isRunning) {
			this.#process.kill(name);
		}
	}

	/** Kills the process if it still runs, and waits for its exit. */
	async kill(): Promise<void> {
		if (this.isRunning) {
			this.#process.kill('SIGCONT');
			this.#process.kill('SIGKILL');
			await this.exited;
		}
	}
}
