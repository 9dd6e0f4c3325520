import {Hono} from 'hono';
import {type Metrics} from './metrics.js';
import {type QuarantineService} from './quarantine-service.js';
import {type StatusService} from './status-service.js';

type OperatorRoutesOptions = {readonly metrics: Metrics; readonly status: StatusService; readonly quarantine: QuarantineService};

/** Creates the operators' HTTP interface that both kinds of daemon serve: metrics, status and quarantine. */
export function operatorRoutes({metrics, status, quarantine}: OperatorRoutesOptions): Hono {
	const app = new Hono();
	app.get('/metrics', ctx => ctx.text(metrics.render()));
	app.get('/v1/status', async ctx => ctx.json(await status.of(ctx.req.query('scope') ?? 'host')));
	app.get('/v1/quarantine', ctx => ctx.json({blocked: quarantine.blocked()}));
	app.delete('/v1/quarantine/:fingerprint', async ctx => ctx.json({wasHeld: await quarantine.lift(ctx.req.param('fingerprint'))}));
	return app;
}
