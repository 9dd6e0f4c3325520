import {createWriteStream} from 'node:fs';
import {Socket} from 'node:net';
import {type Writable} from 'node:stream';

const standardOutputFd = 1;

/** Opens standard output as a stream whose writes never block the event loop, unlike those of `process.stdout` to a full pipe. */
export function openStandardOutput(): Writable {
	try {
		return new Socket({fd: standardOutputFd, readable: false, writable: true}).unref();
	} catch {
		// Files and terminals are not sockets; the thread pool writes to them.
		return createWriteStream('', {fd: standardOutputFd, autoClose: false});
	}
}
