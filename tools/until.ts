import {setTimeout as delay} from 'node:timers/promises';

const pollMs = 50;
const defaultTimeoutMs = 20_000;

/** Polls until a condition holds; throws after a timeout. */
export async function until(condition: string, isMet: () => Promise<boolean>, timeoutMs = defaultTimeoutMs): Promise<void> {
	const endMs = performance.now() + timeoutMs;
	while (performance.now() < endMs) {
		if (await isMet()) {
			return;
		}

		await delay(pollMs);
	}

	throw new Error(`condition not met within ${timeoutMs} ms: ${condition}`);
}
