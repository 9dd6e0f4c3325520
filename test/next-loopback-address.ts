import process from 'node:process';

let used = 0;

/** Returns a loopback address that no earlier call and no other test worker uses, for servers on fixed ports. */
export function nextLoopbackAddress(): string {
	used++;
	const worker = Number(process.env.VITEST_POOL_ID ?? 0) % 100;
	return `127.${100 + worker}.${Math.floor(used / 250)}.${1 + (used % 250)}`;
}
