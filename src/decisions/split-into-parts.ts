/** Size of a part; with the other fields of its datagram, it stays below 1,400 bytes. */
const maxPartBytes = 1100;
/** Number of parts; the more there are, the likelier one is lost, and a watcher sends them all to several hosts at once. */
const maxParts = 12;

/** Splits an encoding into parts of one datagram each; returns `undefined` if there would be too many. */
export function splitIntoParts(data: Uint8Array): Uint8Array[] | undefined {
	const count = Math.ceil(data.byteLength / maxPartBytes);
	return count > maxParts ? undefined : Array.from({length: count}, (_, index) => data.subarray(index * maxPartBytes, (index + 1) * maxPartBytes));
}
