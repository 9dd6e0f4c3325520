import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';

type Blocked = {readonly blocked: ReadonlyArray<{readonly fingerprint: string; readonly service: string; readonly instances: readonly string[]}>};

/** `quarantine` lists the requests that are refused for breaking upstreams; `quarantine lift FINGERPRINT` lets one through again. */
export async function commandQuarantine(ctx: CliContext): Promise<number> {
	const {operator, output, args} = ctx;
	const [verb, fingerprint] = args;
	if (operator === undefined || (verb !== undefined && (verb !== 'lift' || fingerprint === undefined))) {
		output.fail('usage', 'quarantine needs --host, and takes nothing or: lift FINGERPRINT');
		return exitCode.usage;
	}

	const answer = verb === undefined ? await operator.get('/v1/quarantine') : await operator.delete(`/v1/quarantine/${encodeURIComponent(fingerprint ?? '')}`);
	if (!answer.success) {
		output.fail(answer.error.code, answer.error.message);
		return exitCode.unreachable;
	}

	if (verb === undefined) {
		const {blocked} = answer.data as Blocked;
		output.write(answer.data, blocked.length === 0 ? ['nothing is quarantined'] : blocked.map(item => `${item.fingerprint}  ${item.service}  broke ${item.instances.join(', ')}`));
		return exitCode.ok;
	}

	const {wasHeld} = answer.data as {wasHeld: boolean};
	output.write(answer.data, [wasHeld ? 'lifted' : 'nothing was held against it here']);
	return wasHeld ? exitCode.ok : exitCode.notFound;
}
