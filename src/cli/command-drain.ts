import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';
import {reportPublished} from './report-published.js';

const kinds = new Set(['host', 'instance', 'zone', 'region']);

/** `drain KIND NAME` and `undrain KIND NAME`: takes a place out of use, or brings it back, by a publication. */
export async function commandDrain(ctx: CliContext, isDrained: boolean): Promise<number> {
	const {publisher, output, args} = ctx;
	const [kind = '', name = ''] = args;
	if (!kinds.has(kind) || name === '' || publisher === undefined) {
		output.fail('usage', 'drain and undrain need KIND (host, instance, zone or region), NAME and --store');
		return exitCode.usage;
	}

	const head = await publisher.head();
	if (!head.success) {
		output.fail(head.error.code, head.error.message);
		return exitCode.unreachable;
	}

	const place = `${kind}:${name}`;
	const current = new Set(head.data.manifest?.drained);
	if (current.has(place) === isDrained) {
		output.write({success: true, changes: []}, [`${place} is ${isDrained ? 'drained' : 'in use'} already`]);
		return exitCode.ok;
	}

	if (isDrained) {
		current.add(place);
	} else {
		current.delete(place);
	}

	return reportPublished(ctx, await publisher.setDrained([...current].toSorted(), head.data));
}
