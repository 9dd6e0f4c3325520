import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {CrashReport} from '../contracts/crash-report.js';
import {CrashReportAudience} from '../contracts/crash-report-audience.js';
import {MemberUpdate} from '../contracts/member-update.js';
import {type MembersService} from './members-service.js';
import {type QuarantineService} from './quarantine-service.js';

type MemberProceduresOptions = {readonly members: MembersService; readonly quarantine: QuarantineService};

/** Maximum number of crash reports in one call. */
const maxCrashReports = 1000;

/** Creates the control calls that both kinds of daemon serve: membership views of the region, and crash reports of requests. */
export function memberProcedures({members, quarantine}: MemberProceduresOptions) {
	const call = initTRPC.create().procedure;
	return {
		/** Merges the caller's view of the region and returns this host's view. */
		sync: call.input(z.object({updates: z.array(MemberUpdate).max(5000)})).mutation(({input}) => ({updates: members.exchange(input.updates)})),
		/** Receives crash reports: upstream instances were lost while they ran requests, or requests were cleared. */
		crashReports: call
			.input(z.object({reports: z.array(CrashReport).max(maxCrashReports), audience: CrashReportAudience}))
			.mutation(async ({input}) => quarantine.receiveCrashReports(input.reports, input.audience)),
		/** Returns the crash reports that count here, for a host that has just started. */
		knownCrashReports: call.query(() => quarantine.known()),
		/** Receives one crash report from a host of an earlier release, which sends each report separately. */
		strike: call
			.input(CrashReport.extend({isRelayed: z.boolean()}))
			.mutation(async ({input: {isRelayed, ...report}}) => quarantine.receiveCrashReports([report], isRelayed ? 'region' : 'receiver')),
	};
}
