import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {Grant} from '../contracts/grant.js';
import {HomeToken} from '../contracts/home-token.js';
import {OutcomeWire} from '../contracts/outcome-wire.js';
import {memberKey} from '../decisions/member-key.js';
import {type ConfigService} from './config-service.js';
import {type DispatchService} from './dispatch-service.js';
import {type HomeService} from './home-service.js';
import {memberProcedures} from './member-procedures.js';
import {type MembersService} from './members-service.js';
import {type PeerClient} from './peer-client.js';
import {type QuarantineService} from './quarantine-service.js';
import {type StatusService} from './status-service.js';

type PeerRouterOptions = {
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly home: HomeService;
	readonly quarantine: QuarantineService;
	readonly status: StatusService;
	readonly dispatch: DispatchService;
	readonly peerClient: PeerClient;
};

const KeyInput = z.object({tokenId: z.string().max(32), part: z.string().max(64)});
const RecordInput = KeyInput.extend({attempt: z.int().min(1), fingerprint: z.string().max(64)});
const OutcomeInput = KeyInput.extend({attempt: z.int().min(1), outcome: OutcomeWire});
const GrantInput = z.object({
	service: z.string().max(63), from: z.string().max(63), want: z.int().min(0).max(100_000), isRelayed: z.boolean(),
});
function createRouter(options: PeerRouterOptions) {
	const trpc = initTRPC.create();
	const call = trpc.procedure;
	const {members, config, home, quarantine, status, dispatch, peerClient} = options;
	return trpc.router({
		...memberProcedures({members, quarantine}),
		/** Returns the changes from the calling peer's revision to the one in force here. */
		pull: call.input(z.object({haveRevision: z.int().min(0)})).mutation(({input}) => config.changesSince(input.haveRevision)),
		/** Opens a token of which this host is the backup. */
		open: call.input(HomeToken).mutation(({input}) => ({isOpen: home.openAsBackup(input)})),
		/** Records, as backup, an attempt of a key before it starts. */
		record: call.input(RecordInput).mutation(({input}) => ({isRecorded: home.recordAsBackup(input.tokenId, input.part, input.attempt, input.fingerprint)})),
		/** Stores, as backup, the outcome of an attempt. */
		outcome: call.input(OutcomeInput).mutation(({input}) => {
			home.recordOutcomeAsBackup(input.tokenId, input.part, input.attempt, input.outcome);
		}),
		/** Returns the outcome of a key whose home is lost; `backup` is the process that the call is meant for. */
		resolve: call.input(KeyInput.extend({backup: z.string()})).mutation(({input}) => {
			const isThisProcess = input.backup === memberKey(members.membership.self);
			return z.encode(OutcomeWire, isThisProcess ? home.resolveAsBackup(input.tokenId, input.part) : {kind: 'unknown', reason: 'host_lost', detail: 'the backup process no longer exists'});
		}),
		/**
		 * Grants the calling region credits for requests to a service. The call is relayed once, to the service's owner
		 * in this region.
		 */
		grant: call.input(GrantInput).mutation(async ({input}): Promise<Grant> => {
			const owner = members.ownerOf(input.service);
			return members.isSelf(owner) || input.isRelayed
				? dispatch.grant(input.service, input.from, input.want)
				: Grant.parse(await peerClient.control(owner.peers).grant.mutate({...input, isRelayed: true}));
		}),
		hostStatus: call.query(() => status.host()),
		regionStatus: call.query(async () => status.region()),
	});
}

/** Type of the tRPC router for control calls between daemons. */
export type PeerRouter = ReturnType<typeof createRouter>;

/** Creates the tRPC router for the control calls that this daemon serves. */
export const PeerRouter = {create: createRouter};
