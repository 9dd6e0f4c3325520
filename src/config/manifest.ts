import {z} from 'zod';

/** SHA-256 digest in hexadecimal. */
const Digest = z.string().regex(/^[\da-f]{64}$/);

/**
 * Identifies the configuration in force. The bodies are immutable and stored by digest, so that replacing the manifest by
 * compare-and-swap puts a whole publication into force at once.
 */
export const Manifest = z.strictObject({
	/** Incremented by 1 with each publication. */
	revision: z.int().min(1),
	/** Random identifier of the publication, by which a publisher recognizes its own write. */
	publicationId: z.string().min(8).max(64),
	/** Name of the publisher. */
	author: z.string().max(200),
	/** Time of publication in Unix milliseconds, for display only. */
	publishedAtMs: z.int(),
	deployment: Digest,
	services: z.record(z.string(), Digest),
	/** Hosts, instances, zones and regions that operators have drained, as `kind:name`. */
	drained: z.array(z.string()).default([]),
});

/** Parsed manifest. */
export type Manifest = Readonly<z.infer<typeof Manifest>>;
