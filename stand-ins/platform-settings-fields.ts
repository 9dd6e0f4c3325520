import {type renderTemplate} from './render-template.js';

type HostOptions = {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	readonly ip: string;
	/** Region of each zone, by zone name. */
	readonly zones: Readonly<Record<string, string>>;
	/** Addresses of the hosts that a daemon contacts to find its peers. */
	readonly seeds: readonly string[];
	readonly storeAddress: string;
};

/** Ports of the daemon, the same on every host. */
const ports = {
	front: 8381, control: 8382, directory: 8383, ready: 8388,
} as const;

/** Returns the fields from which the platform fills the template of a host's settings. */
export function platformSettingsFields({id, region, zone, ip, zones, seeds, storeAddress}: HostOptions): Parameters<typeof renderTemplate>[1] {
	return {
		node: id,
		region,
		zone,
		ip,
		zones,
		listen: {
			front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}`, directory: `${ip}:${ports.directory}`,
		},
		internal_port_range: [7200, 7215],
		seeds: seeds.map(seed => `${seed}:${ports.control}`),
		platform: {address: storeAddress},
		limits: {
			cpu_share: 0.378, cores: 1, memory_mb: 272, max_fds: 2870, link_mbps: 700,
		},
		bounds: {
			grace_s: 6, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 120, cold_multiplier: 1.5, cold_tolerance: 5,
		},
	};
}
