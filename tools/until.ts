import {setTimeout as delay} from 'node:timers/promises';

const pollMs = 50;
const usualTimeoutMs = 20_000;

/** Polls until a condition holds; fails after a time. */
export async function until(what: string, isMet: () => Promise<boolean>, timeoutMs = usualTimeoutMs): Promise<void> {
	const endMs = performance.now() + timeoutMs;
	while (performance.now() < endMs) {
		if (await isMet()) {
			return;
		}

		await delay(pollMs);
	}

	throw new Error(`waited ${timeoutMs} ms in vain: ${what}`);
}
