type RegionCapacity = {readonly region: string; readonly slots: number; readonly hosts: number};

/** Returns the numbers of slots and hosts of each region that has instances or hosts; `hosts` are numbers of hosts by region. */
export function regionCapacities(instances: ReadonlyArray<{readonly region: string; readonly slots: number}>, hosts: ReadonlyMap<string, number>): RegionCapacity[] {
	const regions = new Set([...instances.map(instance => instance.region), ...hosts.keys()]);
	return [...regions].map(region => ({
		region,
		slots: instances.filter(instance => instance.region === region).reduce((sum, instance) => sum + instance.slots, 0),
		hosts: hosts.get(region) ?? 0,
	}));
}
