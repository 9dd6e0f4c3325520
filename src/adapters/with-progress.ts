/** Yields the parts of a body; calls `markProgress` first, since the head has arrived, and before each part. */
export async function * withProgress(body: AsyncIterable<Uint8Array>, markProgress: () => void): AsyncGenerator<Uint8Array, void> {
	markProgress();
	for await (const chunk of body) {
		markProgress();
		yield chunk;
	}
}
