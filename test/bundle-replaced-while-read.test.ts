import {execFileSync} from 'node:child_process';
import {
	closeSync, existsSync, fstatSync, openSync, statSync,
} from 'node:fs';
import process from 'node:process';
import {expect, it} from 'vitest';

const entryPoint = 'target/cowslipspar.mjs';

const bundle = () => execFileSync(process.execPath, ['deploy/bundle.js']);

// A file that is truncated and written again is empty or cut for a daemon that starts at that moment.
it('a daemon that starts while it is built again may not load a bundle that is written in part', () => {
	if (!existsSync(entryPoint)) {
		bundle();
	}

	const former = openSync(entryPoint, 'r');
	const {ino, size} = fstatSync(former);
	bundle();
	expect(statSync(entryPoint).ino).not.toBe(ino);
	expect(fstatSync(former)).toMatchObject({ino, size});
	closeSync(former);
});
