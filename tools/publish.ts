import {ConsulStore} from '../src/adapters/consul-store.js';
import {monotonicClock} from '../src/adapters/monotonic-clock.js';
import {Publisher} from '../src/publisher.js';
import {type Publication} from '../src/config/publication.js';
import {type Fleet} from './fleet.js';

/** Publishes the example configuration of a fleet, or a changed one, as the command line does; returns the revision. */
export async function publish(fleet: Fleet, publication: Publication = fleet.publication): Promise<number> {
	const store = new ConsulStore({
		address: fleet.storeAddress, prefix: 'cowslipspar/', timeoutMs: 3000, clock: monotonicClock, onCall() {/* Store calls are not counted here. */},
	});
	try {
		const publisher = new Publisher(store, 'tool');
		const head = await publisher.head();
		const published = head.success ? await publisher.publish(publication, head.data) : head;
		if (!published.success) {
			throw new Error(`publishing the example configuration failed: ${published.error.message}`);
		}

		return published.data.manifest.revision;
	} finally {
		store.close();
	}
}
