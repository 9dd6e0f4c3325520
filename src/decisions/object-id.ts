/** Returns the id of an object of a service for one priority: requests with the same id share an instance, whatever their route. */
export function objectId(service: string, priority: number, objectKey: string): string {
	return `${service}|${priority}|${objectKey}`;
}
