import {type Hono} from 'hono';
import {type LookupService} from './lookup-service.js';
import {type MembersService} from './members-service.js';
import {type Metrics} from './metrics.js';
import {operatorRoutes} from './operator-routes.js';
import {type QuarantineService} from './quarantine-service.js';
import {type StatusService} from './status-service.js';

type OperatorServerOptions = {
	readonly metrics: Metrics;
	readonly status: StatusService;
	readonly members: MembersService;
	readonly lookup: LookupService;
	readonly quarantine: QuarantineService;
};

/** Builds the operators' HTTP interface: health, readiness, metrics, status, members, explanations and quarantine. */
export function operatorServer(options: OperatorServerOptions): Hono {
	const {metrics, status, members, lookup, quarantine} = options;
	const app = operatorRoutes({metrics, status, quarantine});
	app.get('/healthz', ctx => ctx.json({status: 'ok'}));
	app.get('/readyz', ctx => (status.isReady() ? ctx.json({status: 'ready'}) : ctx.json({status: 'not ready', phase: status.host().phase}, 503)));
	app.get('/v1/members', ctx => ctx.json({
		updates: members.membership.updates(),
		regions: members.membership.otherRegions().map(region => ({region, hosts: members.membership.hostsOf(region)})),
	}));
	app.get('/v1/explain/:service', ctx => {
		const service = ctx.req.param('service');
		const owner = members.ownerOf(service);
		const caller = ctx.req.query('caller') ?? '';
		return ctx.json({
			service,
			lookup: lookup.lookup(service, caller),
			owner: {id: owner.id, zone: owner.zone, address: owner.peers},
			candidates: members.membership.candidates().map(member => member.id),
			owned: status.host().owns.find(item => item.service === service),
		});
	});
	return app;
}
