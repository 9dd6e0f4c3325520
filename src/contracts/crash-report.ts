import {z} from 'zod';

/** Report that instances were lost while they ran a request, or that the request was cleared of such reports. */
export const CrashReport = z.object({
	fingerprint: z.string().max(64),
	service: z.string().max(63),
	instances: z.array(z.string().max(63)).max(16),
	isCleared: z.boolean(),
});

/** Report that instances were lost while they ran a request, or that the request was cleared of such reports. */
export type CrashReport = z.infer<typeof CrashReport>;
