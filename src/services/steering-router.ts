import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {memberProcedures} from './member-procedures.js';
import {type MembersService} from './members-service.js';
import {type QuarantineService} from './quarantine-service.js';
import {type ReplicaService} from './replica-service.js';

type SteeringRouterOptions = {readonly members: MembersService; readonly quarantine: QuarantineService; readonly replica: ReplicaService};

function createRouter(options: SteeringRouterOptions) {
	const trpc = initTRPC.create();
	return trpc.router({
		...memberProcedures(options),
		/** What the caller lacks of the store's items. */
		items: trpc.procedure.input(z.object({haveRevision: z.int().min(0)})).mutation(({input}) => options.replica.answerPull(input.haveRevision)),
	});
}

/** Control calls between daemons that serve published routes. */
export type SteeringRouter = ReturnType<typeof createRouter>;

/** Builds the control calls that such a daemon answers. */
export const SteeringRouter = {create: createRouter};
