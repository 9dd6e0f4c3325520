/** Settings of a daemon that differ between tests. */
type SettingsOptions = {
	readonly graceSeconds?: number;
	/** Addresses of daemons from which the items are pulled if the store does not respond at start. */
	readonly seeds?: readonly string[];
	readonly logLevel?: 'info' | 'error';
	/** Processor share of the host, for the table `[capacity]`; without it there is no such table. */
	readonly cpuShare?: number;
};

/** Returns the settings file of a daemon for published routes at a loopback address, against the store at `store`. */
export function steeringSettingsText(host: string, store: string, {
	graceSeconds = 2, seeds = [], logLevel = 'error', cpuShare,
}: SettingsOptions): string {
	return `
seeds = ${JSON.stringify(seeds)}
[host]
id = "edge-${host.replaceAll('.', '-')}"
region = "dsm"
zone = "dsm-a"
[zones]
dsm-a = "dsm"
aru-a = "aru"
[listen]
clients = "${host}:8381"
readiness = "${host}:8388"
directory = "${host}:8383"
peers = "${host}:7200"
metrics = "${host}:7201"
[store]
address = "${store}"
timeoutMs = 300
[bounds]
grace_s = ${graceSeconds}
retry_slack = 120
cold_multiplier = 1.5
cold_tolerance = 5
unknown_bound = true
[log]
level = "${logLevel}"
${cpuShare === undefined ? '' : capacityText(cpuShare)}`;
}

function capacityText(cpuShare: number): string {
	return `[capacity]
cpuShare = ${cpuShare}
cores = 2
memoryMb = 400
maxDescriptors = 2069
linkMbps = 70
`;
}
