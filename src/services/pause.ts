/** Resolves after `ms` milliseconds, or earlier when the signal is aborted. */
export async function pause(ms: number, signal?: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const timer = setTimeout(resolve, ms);
		signal?.addEventListener('abort', () => {
			clearTimeout(timer);
			resolve();
		}, {once: true});
	});
}
