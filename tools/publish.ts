import {ConsulStore} from '../src/adapters/consul-store.js';
import {monotonicClock} from '../src/adapters/monotonic-clock.js';
import {Publisher} from '../src/publisher.js';
import {type Publication} from '../src/config/publication.js';
import {type Fleet} from './fleet.js';

/** Publishes a fleet's examples, or a change of them, as the command line does; answers the revision. */
export async function publish(fleet: Fleet, publication: Publication = fleet.publication): Promise<number> {
	const store = new ConsulStore({
		address: fleet.storeAddress, prefix: 'cowslipspar/', timeoutMs: 3000, clock: monotonicClock, onCall() {/* Not counted here. */},
	});
	try {
		const publisher = new Publisher(store, 'tool');
		const head = await publisher.head();
		const published = head.success ? await publisher.publish(publication, head.data) : head;
		if (!published.success) {
			throw new Error(`the examples could not be published: ${published.error.message}`);
		}

		return published.data.manifest.revision;
	} finally {
		store.close();
	}
}
