/** Names an object of a service for the requests of one priority: they share an instance, whatever their route. */
export function objectId(service: string, priority: number, objectKey: string): string {
	return `${service}|${priority}|${objectKey}`;
}
