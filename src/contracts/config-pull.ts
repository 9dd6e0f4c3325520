import {z} from 'zod';
import {Manifest} from '../config/manifest.js';

/** Response to a peer that has an older configuration: the new manifest and the changed bodies. */
export const ConfigPull = z.object({
	manifest: Manifest.omit({services: true}),
	/** Whether `services` contains only the changes since the requested revision. */
	isPatch: z.boolean(),
	/** Digests by service name; in a patch, an empty digest means that the service was removed. */
	services: z.record(z.string(), z.string()),
	/** Bodies by digest. */
	bodies: z.record(z.string(), z.string()),
});

/** Response to a peer that has an older configuration. */
export type ConfigPull = Readonly<z.infer<typeof ConfigPull>>;
