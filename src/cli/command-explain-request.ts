import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';
import {requestStory} from './request-story.js';

/** `explain ID < LOGS`: what happened to one request, from the logs of all hosts. */
export function commandExplainRequest({args, output}: CliContext, logs: string): number {
	const [requestId] = args;
	if (requestId === undefined) {
		output.fail('usage', 'explain needs a request id and the hosts\' logs on standard input, or SERVICE and --host');
		return exitCode.usage;
	}

	const story = requestStory(logs, requestId);
	if (story.lines.length === 0) {
		output.fail('not_found', `no line is about request ${requestId}: it was answered in time, or its lines were left out under load`);
		return exitCode.notFound;
	}

	const lines = story.lines.map(({
		timestamp, host, message, request: _, boot: __, level: ___, ...fields
	}) => `${timestamp}  ${host}  ${message}  ${JSON.stringify(fields)}`);
	output.write({request: requestId, ...story}, [...lines, `ended: ${story.ending ?? 'no line tells; the host may have ended before'}`]);
	return exitCode.ok;
}
