import {type renderTemplate} from './render-template.js';

type HostPlan = {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	readonly ip: string;
	/** Region of each availability zone. */
	readonly zones: Readonly<Record<string, string>>;
	/** Hosts that daemons ask for their peers. */
	readonly seeds: readonly string[];
	readonly storeAddress: string;
};

/** Ports of a daemon on every host. */
const ports = {
	front: 8381, control: 8382, directory: 8383, ready: 8388,
} as const;

/** What the platform fills the settings of a host from. */
export function platformSettingsFields({id, region, zone, ip, zones, seeds, storeAddress}: HostPlan): Parameters<typeof renderTemplate>[1] {
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
		bounds: {
			grace_s: 6, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 120, cold_multiplier: 1.5, cold_tolerance: 5,
		},
	};
}
