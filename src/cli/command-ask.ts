import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';

/** `lookup SERVICE` and `explain SERVICE`: what callers are told, and why requests go where they do. */
export async function commandAsk(ctx: CliContext, isLookupOnly: boolean): Promise<number> {
	const {operator, output, args} = ctx;
	const [service] = args;
	if (operator === undefined || service === undefined) {
		output.fail('usage', 'lookup and explain need SERVICE and --host');
		return exitCode.usage;
	}

	const answer = await operator.get(`/v1/explain/${encodeURIComponent(service)}`);
	if (!answer.success) {
		output.fail(answer.error.code, answer.error.message);
		return exitCode.unreachable;
	}

	const explained = answer.data as {lookup?: {hosts: Array<{address: string; region: string; zone: string}>}};
	if (explained.lookup === undefined) {
		output.fail('not_found', `the host knows no service named ${service}`);
		return exitCode.notFound;
	}

	const lines = explained.lookup.hosts.map(host => `${host.address}  ${host.region}  ${host.zone}`);
	output.write(isLookupOnly ? explained.lookup : explained, isLookupOnly ? lines : JSON.stringify(explained, undefined, 2).split('\n'));
	return exitCode.ok;
}
