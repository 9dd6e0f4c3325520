const limitMs = 8000;
const pollMs = 20;

/** Waits until a condition is met; throws if it is not within 8 s. */
export async function until(isMet: () => boolean | Promise<boolean>): Promise<void> {
	const endMs = performance.now() + limitMs;
	while (!await isMet()) {
		if (performance.now() > endMs) {
			throw new Error(`condition not met within ${limitMs} ms`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
	}
}
