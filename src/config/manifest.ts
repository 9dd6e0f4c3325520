import {z} from 'zod';

/** SHA-256 digest in hexadecimal. */
const Digest = z.string().regex(/^[\da-f]{64}$/);

/**
 * The value under compare-and-swap that says which configuration is in force.
 * Bodies are immutable and stored by digest; replacing the manifest puts a whole publication into force.
 */
export const Manifest = z.strictObject({
	/** Grows by one with each publication. */
	revision: z.int().min(1),
	/** Random identifier of the publication; tells one's own write from another's. */
	publicationId: z.string().min(8).max(64),
	/** Who published. */
	author: z.string().max(200),
	/** Time of publication, in milliseconds since the epoch; for display only. */
	publishedAtMs: z.int(),
	deployment: Digest,
	services: z.record(z.string(), Digest),
	/** Places that operators have drained, as `kind:name`. */
	drained: z.array(z.string()).default([]),
});

/** Parsed manifest. */
export type Manifest = Readonly<z.infer<typeof Manifest>>;
