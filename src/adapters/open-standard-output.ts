import {createWriteStream} from 'node:fs';
import {Socket} from 'node:net';
import {type Writable} from 'node:stream';

const standardOutput = 1;

/** Standard output as a stream whose writes never wait in the loop, unlike those of `process.stdout` to a full pipe. */
export function openStandardOutput(): Writable {
	try {
		return new Socket({fd: standardOutput, readable: false, writable: true}).unref();
	} catch {
		// A file or a terminal is no socket; the thread pool writes to those.
		return createWriteStream('', {fd: standardOutput, autoClose: false});
	}
}
