import {readdirSync, readFileSync, statSync} from 'node:fs';
import {join} from 'node:path';
import {type Issue} from '../config/issue.js';
import {type Result} from '../result.js';

type SourceFile = {readonly name: string; readonly text: string};

/** Reads TOML files, and those in folders and their folders below. */
export function readSourceFiles(paths: readonly string[]): Result<readonly SourceFile[], readonly Issue[]> {
	const files: SourceFile[] = [];
	const issues: Issue[] = [];
	for (const path of paths) {
		try {
			for (const name of listToml(path)) {
				files.push({name, text: readFileSync(name, 'utf8')});
			}
		} catch (err) {
			issues.push({
				code: 'unreadable', file: path, path: [], message: err instanceof Error ? err.message : String(err),
			});
		}
	}

	return issues.length === 0 ? {success: true, data: files} : {success: false, error: issues};
}

function listToml(path: string): string[] {
	if (!statSync(path).isDirectory()) {
		return [path];
	}

	return readdirSync(path, {withFileTypes: true, recursive: true})
		.filter(entry => entry.isFile() && entry.name.endsWith('.toml'))
		.map(entry => join(entry.parentPath, entry.name))
		.toSorted();
}
