import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import {PlacementReport} from '../contracts/placement-report.js';
import {QuotaAsk} from '../contracts/quota-ask.js';
import {RegionLoad} from '../contracts/region-load.js';
import {memberProcedures} from './member-procedures.js';
import {type MembersService} from './members-service.js';
import {type PlannerService} from './planner-service.js';
import {type QuarantineService} from './quarantine-service.js';
import {type QuotaService} from './quotas/quota-service.js';
import {type ReplicaService} from './replica-service.js';
import {type StatusService} from './status-service.js';

type SteeringRouterOptions = {
	readonly members: MembersService;
	readonly quarantine: QuarantineService;
	readonly replica: ReplicaService;
	readonly planner: PlannerService;
	readonly status: StatusService;
	readonly quotas: QuotaService;
};

type CallContext = {
	/** Registers a listener that is called once the response was sent, or its connection closed. */
	readonly onResponseEnd: (listener: () => void) => void;
};

function createRouter(options: SteeringRouterOptions) {
	const trpc = initTRPC.context<CallContext>().create();
	return trpc.router({
		...memberProcedures(options),
		/** Returns the changes of the store's items that the caller does not have yet. Large ones are refused while others fill this host's link. */
		items: trpc.procedure
			.input(z.object({
				haveRevision: z.int().min(0), haveEra: z.int().min(0).optional(), acceptsGaps: z.boolean().default(false), acceptsDeflated: z.boolean().default(false),
			}))
			.mutation(({input, ctx}) => {
				const pull = options.replica.answerPull({revision: input.haveRevision, era: input.haveEra}, input.acceptsGaps, ctx.onResponseEnd, input.acceptsDeflated);
				if (pull === undefined) {
					throw new TRPCError({code: 'TOO_MANY_REQUESTS', message: 'other large transfers are in progress'});
				}

				return pull;
			}),
		/** Receives a host's report for its region's planner; returns the assignments that the host lacks. */
		report: trpc.procedure.input(PlacementReport).mutation(({input}) => options.planner.receiveReport(input)),
		/** Receives another region's load and offers for this region's planner. */
		regionLoad: trpc.procedure.input(z.object({load: RegionLoad, isRelayed: z.boolean()})).mutation(async ({input}) => options.planner.receiveRegionLoad(input.load, input.isRelayed)),
		/** Lends quota tokens, or the right to mint some, to the caller. */
		lend: trpc.procedure.input(z.object({asks: z.array(QuotaAsk)})).mutation(({input}) => options.quotas.lend(input.asks)),
		hostStatus: trpc.procedure.query(() => options.status.host()),
		regionStatus: trpc.procedure.query(async () => options.status.region()),
	});
}

/** Type of the tRPC router for control calls between daemons that serve published routes. */
export type SteeringRouter = ReturnType<typeof createRouter>;

/** Creates the tRPC router for the control calls of a daemon that serves published routes. */
export const SteeringRouter = {create: createRouter};
