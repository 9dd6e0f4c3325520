/** Share of a host's link that a transfer gets at least: clients' requests and other transfers use the same link. */
const leastLinkShare = 0.01;
/** Bandwidth assumed of a host whose settings state none, in megabits per second. */
const defaultLinkMbps = 10;
const bytesPerMsAtOneMbps = 125;

/** Returns the rate below which a transfer counts as stalled, in bytes per millisecond. `linkMbps` is the bandwidth of the host's link, in megabits per second. */
export function leastTransferRate(linkMbps: number | undefined): number {
	return (linkMbps ?? defaultLinkMbps) * bytesPerMsAtOneMbps * leastLinkShare;
}
