import {z} from 'zod';

/** Hosts for which the receiver of crash reports is responsible: itself, all hosts of its region, or those of all regions. */
export const CrashReportAudience = z.enum(['receiver', 'region', 'all_regions']);

/** Hosts for which the receiver of crash reports is responsible: itself, all hosts of its region, or those of all regions. */
export type CrashReportAudience = z.infer<typeof CrashReportAudience>;
