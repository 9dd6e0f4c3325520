/** Yields the parts of a body; calls `markProgress` first, since the head has arrived, and before each part with its size in bytes. */
export async function * withProgress(body: AsyncIterable<Uint8Array>, markProgress: (bytes: number) => void): AsyncGenerator<Uint8Array, void> {
	markProgress(0);
	for await (const chunk of body) {
		markProgress(chunk.byteLength);
		yield chunk;
	}
}
