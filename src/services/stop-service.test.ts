import {expect, it} from 'vitest';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {StopService} from './stop-service.js';

const graceMs = 100;
/** Time for which a request is outstanding that was read just before the end of the grace time. */
const servedMs = 130;

// Under load, requests on connections that were accepted last were closed without a response.
it('a planned stop accepts no more connections before it waits for the last responses', async () => {
	const logger: Pick<Logger, 'info'> = {info: () => undefined};
	const members = {run: () => undefined, membership: {setLeaving: () => [], leave: () => []}};
	let waitEndMs: number | undefined;
	const stop = new StopService({
		clock: monotonicClock,
		logger: logger as Logger,
		members: members as unknown as MembersService,
		countRequestsInFlight: () => waitEndMs === undefined || performance.now() - waitEndMs < servedMs ? 1 : 0,
		onWaitEnd() {
			waitEndMs = performance.now();
		},
		graceMs,
		lookupTtlMs: graceMs / 2,
	});
	expect(await stop.stop()).toBe(0);
});
