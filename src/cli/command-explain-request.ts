import {type CliContext} from './context.js';
import {exitCode} from './exit-code.js';
import {requestHistory} from './request-history.js';

/** Runs `explain ID < LOGS`: shows the log lines about one request from the logs of all hosts, and how the request ended. */
export function commandExplainRequest({args, output}: CliContext, logs: string): number {
	const [requestId] = args;
	if (requestId === undefined) {
		output.fail('usage', 'explain requires a request id and the hosts\' logs on standard input, or SERVICE and --host');
		return exitCode.usage;
	}

	const history = requestHistory(logs, requestId);
	if (history.lines.length === 0) {
		output.fail('not_found', `no log line about request ${requestId}: it was answered in time, or its lines exceeded the rate limit of request logs`);
		return exitCode.notFound;
	}

	const lines = history.lines.map(({
		timestamp, host, message, request: _, boot: __, level: ___, ...fields
	}) => `${timestamp}  ${host}  ${message}  ${JSON.stringify(fields)}`);
	output.write({request: requestId, ...history}, [...lines, `ended: ${history.ending ?? 'no log line shows how; the host may have stopped before that'}`]);
	return exitCode.ok;
}
