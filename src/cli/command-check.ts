import {collectPublication} from '../config/collect-publication.js';
import {formatIssue} from '../config/format-issue.js';
import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';
import {readSourceFiles} from './read-source-files.js';

/** Runs `check FILES…`: validates operators' files and reports all issues with file and line. Connects to no host. */
export async function commandCheck(ctx: CliContext): Promise<number> {
	if (ctx.args.length === 0) {
		ctx.output.fail('usage', 'check requires files or directories');
		return exitCode.usage;
	}

	const files = readSourceFiles(ctx.args);
	const checked = files.success ? collectPublication(files.data) : files;
	if (!checked.success) {
		ctx.output.write({success: false, issues: checked.error}, checked.error.map(issue => formatIssue(issue)));
		return exitCode.invalid;
	}

	const serviceNames = Object.keys(checked.data.services);
	ctx.output.write({success: true, services: serviceNames}, [`no issues found; services: ${serviceNames.join(', ')}`]);
	return exitCode.ok;
}
