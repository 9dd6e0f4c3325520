import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';
import {platformNames} from '../../dist/stand-ins/platform-names.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const deployFile = fileURLToPath(new URL('../../deploy/system.toml', import.meta.url));

/** One daemon, started with the command of the deploy file. */
export class DaemonProcess {
	#child;
	#exited;
	#settingsFile;
	#logFile;

	constructor(settingsFile, logFile) {
		this.#settingsFile = settingsFile;
		this.#logFile = logFile;
	}

	get pid() {
		return this.#child?.pid;
	}

	/** Resolves when the process has ended. */
	get exited() {
		return this.#exited;
	}

	start() {
		const [program, ...args] = parse(readFileSync(deployFile, 'utf8')).roles.daemon.run.split(' ');
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {
				PATH, HOME, LANG, [platformNames.settingsVariable]: this.#settingsFile,
			},
		});
		const log = createWriteStream(this.#logFile, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.#child = child;
		this.#exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				resolve(signal ?? code);
			});
		});
	}

	signal(name) {
		if (this.#child?.exitCode === null && this.#child.signalCode === null) {
			this.#child.kill(name);
		}
	}

	async kill() {
		this.signal('SIGKILL');
		await this.#exited;
	}
}
