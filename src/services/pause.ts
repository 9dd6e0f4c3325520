/** Resolves after `ms` milliseconds, or earlier when the signal is aborted. */
export async function pause(ms: number, signal?: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const end = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', end);
			resolve();
		};

		const timer = setTimeout(end, ms);
		signal?.addEventListener('abort', end);
	});
}
