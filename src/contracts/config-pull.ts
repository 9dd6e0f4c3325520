import {z} from 'zod';
import {Manifest} from '../config/manifest.js';

/** What a daemon sends to a peer that has an older configuration: the new manifest, and the bodies that changed. */
export const ConfigPull = z.object({
	manifest: Manifest.omit({services: true}),
	/** Whether `services` holds only changes since the revision that was asked for. */
	isPatch: z.boolean(),
	/** Digests by service name; in a patch, an empty one stands for a service that was removed. */
	services: z.record(z.string(), z.string()),
	/** Bodies by digest. */
	bodies: z.record(z.string(), z.string()),
});

/** What a daemon sends to a peer that has an older configuration. */
export type ConfigPull = Readonly<z.infer<typeof ConfigPull>>;
