import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {MemberUpdate} from '../contracts/member-update.js';
import {type MembersService} from './members-service.js';
import {type QuarantineService} from './quarantine-service.js';

type MemberProceduresOptions = {readonly members: MembersService; readonly quarantine: QuarantineService};

const StrikeInput = z.object({
	fingerprint: z.string().max(64),
	service: z.string().max(63),
	instances: z.array(z.string().max(63)).max(16),
	isCleared: z.boolean(),
	isRelayed: z.boolean(),
});

/** Control calls that every kind of daemon answers: views of the region, and news of requests that break upstreams. */
export function memberProcedures({members, quarantine}: MemberProceduresOptions) {
	const call = initTRPC.create().procedure;
	return {
		/** Exchanges views of the region. */
		sync: call.input(z.object({updates: z.array(MemberUpdate).max(5000)})).mutation(({input}) => ({updates: members.exchange(input.updates)})),
		/** News of a request that broke an upstream. */
		strike: call.input(StrikeInput).mutation(async ({input}) => quarantine.hear(input)),
	};
}
