import {parse, TomlError} from 'smol-toml';
import {type z} from 'zod';
import {type Result} from '../result.js';
import {type Issue} from './issue.js';
import {locateKey} from './locate-key.js';

/** Parses a TOML text with a schema; returns every problem with its file, line and key path. */
export function parseToml<T>(file: string, text: string, schema: z.ZodType<T>): Result<T, readonly Issue[]> {
	const raw = readToml(file, text);
	if (!raw.success) {
		return raw;
	}

	const parsed = schema.safeParse(raw.data);
	if (parsed.success) {
		return {success: true, data: parsed.data};
	}

	return {success: false, error: parsed.error.issues.flatMap(issue => toIssues(file, text, issue))};
}

function readToml(file: string, text: string): Result<unknown, readonly Issue[]> {
	try {
		return {success: true, data: parse(text)};
	} catch (err) {
		if (err instanceof TomlError) {
			const message = err.message.split('\n')[0] ?? 'invalid TOML';
			return {
				success: false, error: [{
					code: 'invalid_toml', file, line: err.line, path: [], message,
				}],
			};
		}

		throw err;
	}
}

function toIssues(file: string, text: string, issue: z.core.$ZodIssue): Issue[] {
	const path = issue.path.map(part => (typeof part === 'symbol' ? String(part) : part));
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({
			code: 'unknown_key', file, line: locateKey(text, [...path, key]), path: [...path, key], message: 'unknown key',
		}));
	}

	const code = issue.code === 'custom' ? 'invalid_value' : issue.code;
	return [{
		code, file, line: locateKey(text, path), path, message: issue.message,
	}];
}
