import {type Publication} from '../src/config/publication.js';
import {type Fleet} from './fleet.js';
import {publish} from './publish.js';

/** Starts the processes of a fleet, publishes its example configuration, or a changed one, and waits until every host serves. */
export async function startFleet(fleet: Fleet, publication: Publication = fleet.publication): Promise<void> {
	await fleet.startStandIns();
	await fleet.startDaemons();
	await publish(fleet, publication);
	await fleet.untilReady();
}
