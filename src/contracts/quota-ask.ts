import {z} from 'zod';

/** What a host asks of a peer for one account. */
export const QuotaAsk = z.object({
	account: z.string(),
	/** Number of tokens; fractions count. */
	tokens: z.number().min(0),
	/** Rate at which the host would mint in place of the peer for a while; 0 for none. */
	ratePerSecond: z.number().min(0),
	/** Id of a loan of a rate that the host wants to keep. */
	renews: z.int().optional(),
	/** Tokens of earlier loans that the host does not need. */
	returns: z.array(z.object({loanId: z.int(), tokens: z.number().min(0)})).optional(),
	/** Whether the host has a share of its own. */
	hasShare: z.boolean().default(false),
});

/** What a host asks of a peer for one account. */
export type QuotaAsk = Readonly<z.infer<typeof QuotaAsk>>;
