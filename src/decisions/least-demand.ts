/** Slots below which an object counts as not asked for. */
export const leastDemand = 0.001;
