/** Settings of a daemon that differ between tests. */
type SettingsOptions = {
	readonly graceSeconds?: number;
	/** Addresses of daemons from which the items are pulled if the store does not respond at start. */
	readonly seeds?: readonly string[];
	readonly logLevel?: 'info' | 'error';
	/** Fields of the size of the host; without them the settings state no size. */
	readonly capacity?: Readonly<Record<string, number>>;
};

/** Returns the settings file of a daemon for published routes at a loopback address, against the store at `store`. */
export function steeringSettingsText(host: string, store: string, {graceSeconds = 2, seeds = [], logLevel = 'error', capacity}: SettingsOptions): string {
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
${capacity === undefined ? '' : `[capacity]\n${Object.entries(capacity).map(([name, value]) => `${name} = ${value}`).join('\n')}`}
`;
}
