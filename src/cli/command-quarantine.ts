import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';

type QuarantineList = {readonly blocked: ReadonlyArray<{readonly fingerprint: string; readonly service: string; readonly instances: readonly string[]}>};

/** Runs `quarantine`, which lists the requests that are refused because they crashed instances, or `quarantine lift FINGERPRINT`, which accepts one of them again. */
export async function commandQuarantine(ctx: CliContext): Promise<number> {
	const {operator, output, args} = ctx;
	const [action, fingerprint] = args;
	if (operator === undefined || (action !== undefined && (action !== 'lift' || fingerprint === undefined))) {
		output.fail('usage', 'quarantine requires --host, and either no argument or: lift FINGERPRINT');
		return exitCode.usage;
	}

	const response = action === undefined ? await operator.get('/v1/quarantine') : await operator.delete(`/v1/quarantine/${encodeURIComponent(fingerprint ?? '')}`);
	if (!response.success) {
		output.fail(response.error.code, response.error.message);
		return exitCode.unreachable;
	}

	if (action === undefined) {
		const {blocked} = response.data as QuarantineList;
		output.write(response.data, blocked.length === 0 ? ['no request is quarantined'] : blocked.map(item => `${item.fingerprint}  ${item.service}  broke ${item.instances.join(', ')}`));
		return exitCode.ok;
	}

	const {wasHeld} = response.data as {wasHeld: boolean};
	output.write(response.data, [wasHeld ? 'lifted' : 'this host had no crash reports for the fingerprint']);
	return wasHeld ? exitCode.ok : exitCode.notFound;
}
