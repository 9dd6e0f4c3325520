type Size = {
	/** Memory at which the platform ends the process, in megabytes. */
	readonly memoryMb: number;
	readonly maxDescriptors: number;
};

/** Limits that the settings state; those that they leave out are derived. */
type StatedLimits = {
	readonly budgetMb?: number | undefined;
	readonly reservedShare: number;
	readonly maxConnections?: number | undefined;
	readonly maxInstanceConnections?: number | undefined;
};

type ClientLimits = {
	readonly totalBytes: number;
	readonly reservedBytes: number;
	readonly smallBytes: number;
	readonly connectionBytes: number;
	readonly maxConnections: number;
	readonly maxInstanceConnections: number;
	/** Memory at which the platform ends the process; infinite if the host states no size. */
	readonly processLimitBytes: number;
	/** Limits of the responses that are held until they are whole. */
	readonly heldResponses: {readonly totalBytes: number; readonly reservationBytes: number};
};

const bytesPerMb = 1_048_576;
/** Memory of a process that serves ordinary clients: 57 to 72 MB were measured, and some for garbage. */
const processMb = 90;
/** Share of the memory beside that of the process, and of the heap, that may be held for clients: garbage and gaps between buffers take several times as much. */
const budgetShare = 0.15;
const minBudgetMb = 4;
const minFreeMb = 16;
/** Budget of a host that states no size. */
const defaultBudgetMb = 64;
/** Descriptors that the platform reserves for files. */
const reservedDescriptors = 200;
/** Shares of the other descriptors: what is left goes to the store, the peers and the listening sockets. */
const clientDescriptorShare = 0.6;
const instanceDescriptorShare = 0.3;
/** Up to this size, a connection has a request with usual headers and a small body in progress. */
const smallBytes = 131_072;
/** Part of the budget that one connection may use, and the limits of this part: some responses of 256 KB fit in, and no more is gained beyond. */
const connectionShare = 1 / 16;
const minConnectionBytes = 262_144;
const maxConnectionBytes = 2_097_152;
/** Memory of an open connection with its parser, and the share of the memory beside that of the process that open connections may take. */
const connectionBaseBytes = 32_768;
const connectionMemoryShare = 0.3;
/** Limits of all responses that are held until they are whole, and of one of them. */
const heldResponsesShare = 0.5;
const maxHeldResponsesBytes = 33_554_432;
const maxHeldResponseBytes = 8_388_608;

/** Returns the limits of what a host holds for clients, from its size as far as the settings state it. */
export function clientLimits(stated: StatedLimits, size: Size | undefined, heapMb: number): ClientLimits {
	const freeMb = size === undefined ? Number.POSITIVE_INFINITY : Math.max(minFreeMb, size.memoryMb - processMb);
	const budgetMb = stated.budgetMb ?? (size === undefined ? defaultBudgetMb : Math.max(minBudgetMb, budgetShare * Math.min(freeMb, heapMb)));
	const totalBytes = Math.round(budgetMb * bytesPerMb);
	const descriptors = size === undefined ? Number.POSITIVE_INFINITY : Math.max(1, size.maxDescriptors - reservedDescriptors);
	return {
		totalBytes,
		reservedBytes: Math.round(totalBytes * stated.reservedShare),
		smallBytes,
		connectionBytes: Math.min(maxConnectionBytes, Math.max(minConnectionBytes, Math.round(totalBytes * connectionShare))),
		maxConnections: stated.maxConnections ?? Math.ceil(Math.min(descriptors * clientDescriptorShare, freeMb * bytesPerMb * connectionMemoryShare / connectionBaseBytes)),
		maxInstanceConnections: stated.maxInstanceConnections ?? Math.ceil(descriptors * instanceDescriptorShare),
		processLimitBytes: size === undefined ? Number.POSITIVE_INFINITY : size.memoryMb * bytesPerMb,
		heldResponses: {totalBytes: Math.min(maxHeldResponsesBytes, Math.round(totalBytes * heldResponsesShare)), reservationBytes: maxHeldResponseBytes},
	};
}
