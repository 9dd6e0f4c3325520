import {z} from 'zod';
import {CrashReport} from './crash-report.js';

/** Response to a host that has just started: the crash reports that count at the sender. */
export const KnownCrashReports = z.object({
	/** Whether the sender has the reports of the time before it started itself, or found nobody who does. */
	isComplete: z.boolean(),
	reports: z.array(CrashReport.omit({isCleared: true}).extend({
		/** Time since the first of the crashes, in milliseconds. */
		ageMs: z.number().min(0),
	})).max(1000),
});

/** Response to a host that has just started: the crash reports that count at the sender. */
export type KnownCrashReports = Readonly<z.infer<typeof KnownCrashReports>>;
