import {z} from 'zod';

/** What a host lends to a peer for one account. */
export const QuotaOffer = z.object({
	account: z.string(),
	tokens: z.number().min(0),
	/** Rate that is lent, for `rateMs` from the time before the call was sent; 0 if an earlier loan was renewed. */
	ratePerSecond: z.number().min(0),
	/** Id of the loan of the tokens. */
	tokensId: z.int().default(0),
	/** Id of the loan of the rate. */
	loanId: z.int(),
	rateMs: z.number().min(0),
	/** Time after which a lent token is void, counted from before the call was sent or from when it was minted. */
	loanMs: z.number().min(0),
	/** Time until asking again is of use, in milliseconds. */
	waitMs: z.number().min(0),
});

/** What a host lends to a peer for one account. */
export type QuotaOffer = Readonly<z.infer<typeof QuotaOffer>>;
