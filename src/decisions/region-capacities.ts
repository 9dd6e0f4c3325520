type RegionCapacity = {readonly region: string; readonly slots: number; readonly hosts: number};

/** Returns the numbers of slots and hosts of each region that has instances or hosts; `hosts` are numbers of hosts by region. */
export function regionCapacities(instances: ReadonlyArray<{readonly region: string; readonly slots: number}>, hosts: ReadonlyMap<string, number>): RegionCapacity[] {
	const slotsByRegion = new Map<string, number>();
	for (const {region, slots} of instances) {
		slotsByRegion.set(region, (slotsByRegion.get(region) ?? 0) + slots);
	}

	for (const region of hosts.keys()) {
		slotsByRegion.set(region, slotsByRegion.get(region) ?? 0);
	}

	return Array.from(slotsByRegion, ([region, slots]) => ({region, slots, hosts: hosts.get(region) ?? 0}));
}
