import process from 'node:process';

const addressesPerProcess = 250;
let used = 0;

/**
 * Returns a loopback address for servers on fixed ports that no earlier call and no other running test process uses. It is derived
 * from the process id, so that test runs in several checkouts on one machine do not collide.
 */
export function nextLoopbackAddress(): string {
	used++;
	if (used > addressesPerProcess) {
		throw new Error(`one test file uses more than ${addressesPerProcess} loopback addresses`);
	}

	return `127.${16 + (Math.floor(process.pid / 256) % 200)}.${process.pid % 256}.${used}`;
}
