/** Report of a host that bore a crowd. */
export const goodReport = {
	isRunning: true, isWithinMemory: true, isWithinDescriptors: true, isServing: true,
} as const;
