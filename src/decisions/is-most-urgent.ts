/**
 * Returns whether a priority is the most urgent one of its service and less urgent ones exist. `priorities` are those of the
 * service's routes, most urgent first.
 */
export function isMostUrgent(priority: number, priorities: readonly number[]): boolean {
	return priority === priorities[0] && priorities.some(other => other > priority);
}
