import {setTimeout as delay} from 'node:timers/promises';
import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';

type WaitResult = {readonly code: number; readonly hosts: number; readonly late: readonly string[]; readonly silent: readonly string[]; readonly tookMs: number};

const pollMs = 100;

/** Waits until a revision is in force at each host in the queried host's view; returns the hosts where it is not. */
export async function waitUntilInForce(ctx: CliContext, revision: number): Promise<WaitResult> {
	const startMs = performance.now();
	if (ctx.operator === undefined) {
		return {
			code: exitCode.ok, hosts: 0, late: [], silent: [], tookMs: 0,
		};
	}

	let lastResult: WaitResult = {
		code: exitCode.pending, hosts: 0, late: [], silent: [], tookMs: 0,
	};
	while (performance.now() - startMs < ctx.waitMs) {
		const status = await ctx.operator.status('system');
		const tookMs = Math.round(performance.now() - startMs);
		if (status.success) {
			const {hosts, silent} = status.data;
			const late = hosts.filter(host => host.revision < revision).map(host => host.id);
			const isInForce = late.length === 0 && silent.length === 0;
			lastResult = {
				code: isInForce ? exitCode.ok : exitCode.pending, hosts: hosts.length, late, silent, tookMs,
			};
			if (isInForce) {
				return lastResult;
			}
		}

		await delay(pollMs);
	}

	return lastResult;
}
