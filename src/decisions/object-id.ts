/** Names an object of a service: its requests share an instance, whatever their route. */
export function objectId(service: string, objectKey: string): string {
	return `${service}|${objectKey}`;
}
