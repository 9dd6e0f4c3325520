import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';

/** Runs `lookup SERVICE`, which shows the lookup response that callers receive, or `explain SERVICE`, which also shows how requests are routed. */
export async function commandExplainService(ctx: CliContext, isLookupOnly: boolean): Promise<number> {
	const {operator, output, args} = ctx;
	const [service] = args;
	if (operator === undefined || service === undefined) {
		output.fail('usage', 'lookup and explain require SERVICE and --host');
		return exitCode.usage;
	}

	const response = await operator.get(`/v1/explain/${encodeURIComponent(service)}`);
	if (!response.success) {
		output.fail(response.error.code, response.error.message);
		return exitCode.unreachable;
	}

	const explanation = response.data as {lookup?: {hosts: Array<{address: string; region: string; zone: string}>}};
	if (explanation.lookup === undefined) {
		output.fail('not_found', `the host has no service named ${service}`);
		return exitCode.notFound;
	}

	const lines = explanation.lookup.hosts.map(host => `${host.address}  ${host.region}  ${host.zone}`);
	output.write(isLookupOnly ? explanation.lookup : explanation, isLookupOnly ? lines : JSON.stringify(explanation, undefined, 2).split('\n'));
	return exitCode.ok;
}
