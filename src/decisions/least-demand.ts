/** Demand in slots up to which an object counts as not requested. */
export const leastDemand = 0.001;
