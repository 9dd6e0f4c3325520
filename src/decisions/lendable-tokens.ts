/** Fractions of a token add up with rounding errors. */
const roundingError = 1e-6;

/** Returns how many tokens to lend. Only one that completes a token is lent in fractions, since others would expire where they are of no use. */
export function lendableTokens(asked: number, level: number, part: number): number {
	return asked < 1 ? (level >= asked ? asked : 0) : Math.floor(Math.min(asked, Math.max(part * level, Math.min(1, level))) + roundingError);
}
