import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {MemberUpdate} from '../contracts/member-update.js';
import {type MembersService} from './members-service.js';
import {type QuarantineService} from './quarantine-service.js';

type MemberProceduresOptions = {readonly members: MembersService; readonly quarantine: QuarantineService};

const CrashReportInput = z.object({
	fingerprint: z.string().max(64),
	service: z.string().max(63),
	instances: z.array(z.string().max(63)).max(16),
	isCleared: z.boolean(),
	isRelayed: z.boolean(),
});

/** Creates the control calls that both kinds of daemon serve: membership views of the region, and crash reports of requests. */
export function memberProcedures({members, quarantine}: MemberProceduresOptions) {
	const call = initTRPC.create().procedure;
	return {
		/** Merges the caller's view of the region and returns this host's view. */
		sync: call.input(z.object({updates: z.array(MemberUpdate).max(5000)})).mutation(({input}) => ({updates: members.exchange(input.updates)})),
		/** Receives a crash report: upstream instances were lost while they ran a request, or the request was cleared. */
		strike: call.input(CrashReportInput).mutation(async ({input}) => quarantine.receiveCrashReport(input)),
	};
}
