type RegionSize = {readonly region: string; readonly slots: number; readonly hosts: number};

/** Slots and hosts of each region that has instances or hosts. */
export function regionSizes(instances: ReadonlyArray<{readonly region: string; readonly slots: number}>, hosts: ReadonlyMap<string, number>): RegionSize[] {
	const regions = new Set([...instances.map(instance => instance.region), ...hosts.keys()]);
	return [...regions].map(region => ({
		region,
		slots: instances.filter(instance => instance.region === region).reduce((sum, instance) => sum + instance.slots, 0),
		hosts: hosts.get(region) ?? 0,
	}));
}
