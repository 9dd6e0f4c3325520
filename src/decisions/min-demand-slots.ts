/** Demand in slots up to which an object counts as not requested. */
export const minDemandSlots = 0.001;
