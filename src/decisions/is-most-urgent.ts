/** Whether requests of a priority go before others of their service; `priorities` are those of the service's routes, most urgent first. */
export function isMostUrgent(priority: number, priorities: readonly number[]): boolean {
	return priority === priorities[0] && priorities.some(other => other > priority);
}
