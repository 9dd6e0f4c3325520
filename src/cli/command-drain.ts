import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';
import {reportPublication} from './report-publication.js';

const placeKinds = new Set(['host', 'instance', 'zone', 'region']);

/** Runs `drain KIND NAME` or `undrain KIND NAME`: publishes the list of drained places with this place added or removed. */
export async function commandDrain(ctx: CliContext, isDrained: boolean): Promise<number> {
	const {publisher, output, args} = ctx;
	const [kind = '', name = ''] = args;
	if (!placeKinds.has(kind) || name === '' || publisher === undefined) {
		output.fail('usage', 'drain and undrain require KIND (host, instance, zone or region), NAME and --store');
		return exitCode.usage;
	}

	const head = await publisher.head();
	if (!head.success) {
		output.fail(head.error.code, head.error.message);
		return exitCode.unreachable;
	}

	const place = `${kind}:${name}`;
	const drainedPlaces = new Set(head.data.manifest?.drained);
	if (drainedPlaces.has(place) === isDrained) {
		output.write({success: true, changes: []}, [`${place} is already ${isDrained ? 'drained' : 'in use'}`]);
		return exitCode.ok;
	}

	if (isDrained) {
		drainedPlaces.add(place);
	} else {
		drainedPlaces.delete(place);
	}

	return reportPublication(ctx, await publisher.setDrained([...drainedPlaces].toSorted(), head.data));
}
