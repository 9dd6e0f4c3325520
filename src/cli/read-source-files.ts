import {readdirSync, readFileSync, statSync} from 'node:fs';
import {join} from 'node:path';
import {type Issue} from '../config/issue.js';
import {type Result} from '../result.js';

type SourceFile = {readonly name: string; readonly text: string};

/** Reads the given files, and all TOML files in the given directories and their subdirectories. */
export function readSourceFiles(paths: readonly string[]): Result<readonly SourceFile[], readonly Issue[]> {
	const files: SourceFile[] = [];
	const issues: Issue[] = [];
	for (const path of paths) {
		try {
			for (const name of listTomlFiles(path)) {
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

function listTomlFiles(path: string): string[] {
	if (!statSync(path).isDirectory()) {
		return [path];
	}

	return readdirSync(path, {withFileTypes: true, recursive: true})
		.filter(entry => entry.isFile() && entry.name.endsWith('.toml'))
		.map(entry => join(entry.parentPath, entry.name))
		.toSorted();
}
