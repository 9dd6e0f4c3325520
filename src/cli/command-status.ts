import {type HostStatus} from '../contracts/host-status.js';
import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';

/** Runs `status`: shows the state of each host in the queried host's view. */
export async function commandStatus(ctx: CliContext): Promise<number> {
	const {operator, output} = ctx;
	if (operator === undefined) {
		output.fail('usage', 'status requires --host');
		return exitCode.usage;
	}

	const status = await operator.status('system');
	if (!status.success) {
		output.fail(status.error.code, status.error.message);
		return exitCode.unreachable;
	}

	const {hosts, silent} = status.data;
	output.write(status.data, [
		'HOST                 ZONE            PHASE     REV   IN FLIGHT  KEYS  OWNS',
		...hosts.toSorted((a, b) => (a.id < b.id ? -1 : 1)).map(host => formatHost(host)),
		...silent.map(name => `no response from ${name}`),
	]);
	return exitCode.ok;
}

function formatHost(host: HostStatus): string {
	const owns = host.owns.map(item => `${item.service} (${item.inFlight} running, ${item.queued} waiting)`).join(', ');
	return [
		host.id.padEnd(20),
		host.zone.padEnd(15),
		host.phase.padEnd(9),
		String(host.revision).padEnd(5),
		String(host.requestsInFlight).padEnd(10),
		String(host.keysUnfinished).padEnd(5),
		owns,
	].join(' ');
}
