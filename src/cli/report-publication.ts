import {type Publisher} from '../publisher.js';
import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';
import {waitUntilInForce} from './wait-until-in-force.js';

type PublishResult = Awaited<ReturnType<Publisher['publish']>>;

/** Reports the result of a publication and waits until it is in force; returns the exit code. */
export async function reportPublication(ctx: CliContext, published: PublishResult): Promise<number> {
	const {output} = ctx;
	if (!published.success) {
		output.fail(published.error.code, published.error.message);
		return published.error.code === 'conflict' ? exitCode.conflict : exitCode.unreachable;
	}

	const {manifest, changes} = published.data;
	for (const change of changes) {
		output.progress(change);
	}

	const {code, ...inForce} = await waitUntilInForce(ctx, manifest.revision);
	const summary = inForce.hosts === 0 ? 'published; no host was queried' : `in force at ${inForce.hosts - inForce.late.length} of ${inForce.hosts} hosts after ${inForce.tookMs} ms`;
	const lateLines = [...inForce.late.map(id => `not yet in force: ${id}`), ...inForce.silent.map(id => `no response: ${id}`)];
	output.write({
		success: code === exitCode.ok, revision: manifest.revision, publicationId: manifest.publicationId, changes, ...inForce,
	}, [`revision ${manifest.revision}: ${summary}`, ...lateLines]);
	return code;
}
