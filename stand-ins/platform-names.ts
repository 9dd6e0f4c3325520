/** Names and addresses of the platform that tools need to simulate it. */
export const platformNames = {
	settingsVariable: 'COWSLIPSPAR_BOOT',
	configurationKey: 'op/config',
	instanceKey: (id: string) => `servers/${id}`,
	evacuationKey: (zone: string) => `op/evacuate/${zone}`,
	readinessUrl: (ip: string) => `http://${ip}:8388/-/readyz`,
	operatorsAddress: (ip: string) => `${ip}:7215`,
	directoryAddress: (ip: string) => `${ip}:8383`,
	clientsUrl: (ip: string) => `http://${ip}:8381`,
	requestId: 'x-request-id',
} as const;
