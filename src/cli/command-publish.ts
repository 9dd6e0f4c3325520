import {collectPublication} from '../config/collect-publication.js';
import {formatIssue} from '../config/format-issue.js';
import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';
import {readSourceFiles} from './read-source-files.js';
import {reportPublication} from './report-publication.js';

/** Runs `publish DIR`: validates the files, publishes them atomically, and waits until they are in force at every host. */
export async function commandPublish(ctx: CliContext): Promise<number> {
	const {publisher, output} = ctx;
	if (ctx.args.length === 0 || publisher === undefined) {
		output.fail('usage', 'publish requires a directory and --store');
		return exitCode.usage;
	}

	const files = readSourceFiles(ctx.args);
	const checked = files.success ? collectPublication(files.data) : files;
	if (!checked.success) {
		output.write({success: false, issues: checked.error}, checked.error.map(issue => formatIssue(issue)));
		return exitCode.invalid;
	}

	const head = await publisher.head();
	if (!head.success) {
		output.fail(head.error.code, head.error.message);
		return exitCode.unreachable;
	}

	return reportPublication(ctx, await publisher.publish(checked.data, head.data));
}
