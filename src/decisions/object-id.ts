/** Names an object of a service for the requests of one priority that enter in one zone: they share an instance, whatever their route. */
export function objectId(service: string, priority: number, zone: string, objectKey: string): string {
	return `${service}|${priority}|${zone}|${objectKey}`;
}
