import {type Issue} from './issue.js';

/** Formats an issue as `file:line: key.path: message [code]`; an unknown line and an empty path are left out. */
export function formatIssue(issue: Issue): string {
	const place = issue.line === undefined ? issue.file : `${issue.file}:${issue.line}`;
	const path = issue.path.length === 0 ? '' : `${issue.path.join('.')}: `;
	return `${place}: ${path}${issue.message} [${issue.code}]`;
}
