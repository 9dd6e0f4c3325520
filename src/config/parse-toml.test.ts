import {readdirSync, readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {collectPublication} from './collect-publication.js';
import {DaemonSettings} from './daemon-settings.js';
import {parseToml} from './parse-toml.js';
import {ServiceFile} from './service-file.js';

function exampleFiles(name: string): Array<{name: string; text: string}> {
	const directory = `examples/${name}`;
	return readdirSync(directory).map(file => ({name: `${directory}/${file}`, text: readFileSync(`${directory}/${file}`, 'utf8')}));
}

describe('operators\' files', () => {
	describe('examples', () => {
		it.each(['mvule', 'barid'])('accepts %s, which has 36 instances', name => {
			const collected = collectPublication(exampleFiles(name));
			expect(collected.success).toBe(true);
			if (collected.success) {
				const instances = Object.values(collected.data.services).flatMap(file => file.places.flatMap(place => place.instances));
				expect(instances).toHaveLength(36);
			}
		});
	});

	describe('invalid files', () => {
		const validText = readFileSync('examples/mvule/rostrum.toml', 'utf8');

		it.each([
			{
				change: ['priority = 1', 'priority = 0'], code: 'too_small', line: 6, path: 'classes.0.priority',
			},
			{
				change: ['floor = 0.5', 'floor = 0.9'], code: 'invalid_value', line: 4, path: 'classes',
			},
			{
				change: ['repeatable = false', 'repeatable = "no"'], code: 'invalid_type', line: 9, path: 'classes.0.repeatable',
			},
			{
				change: ['slots = 3', 'slotz = 3'], code: 'unknown_key', line: 31, path: 'places.0.slotz',
			},
			{
				change: ['127.31.11.21:7300', 'rostrum.local:7300'], code: 'invalid_value', line: 33, path: 'places.0.instances.0.address',
			},
		])('reports $code at $path', ({change, code, line, path}) => {
			const parsed = parseToml('rostrum.toml', validText.replace(change[0]!, change[1]!), ServiceFile);
			expect(parsed.success).toBe(false);
			if (!parsed.success) {
				expect(parsed.error.map(issue => ({code: issue.code, line: issue.line, path: issue.path.join('.')}))).toContainEqual({code, line, path});
			}
		});

		it('reports invalid TOML with its line', () => {
			const parsed = parseToml('a.toml', '[service]\nname = "x"\nbroken', ServiceFile);
			expect(parsed).toMatchObject({success: false, error: [{code: 'invalid_toml', line: 3}]});
		});

		it('reports the problems of all files at once', () => {
			const files = exampleFiles('mvule').map(file => ({...file, text: file.text.replace('region = "dsm"', 'region = "nowhere"')}));
			const collected = collectPublication(files);
			expect(collected).toMatchObject({success: false, error: Array.from({length: 3}, () => ({code: 'unknown_region'}))});
		});

		it('reports two services with the same name', () => {
			const files = exampleFiles('mvule');
			const collected = collectPublication([...files, {name: 'copy.toml', text: validText}]);
			expect(collected.success).toBe(false);
			if (!collected.success) {
				expect(collected.error.map(issue => issue.code)).toContain('repeated_service');
			}
		});
	});

	describe('daemon settings', () => {
		it('reports all problems of a file at once', () => {
			const text = '[host]\nid = "A"\nregion = "dsm"\nzone = "dsm-a"\nrack = 1\n[listen]\ncallers = "x"\npeers = "127.0.0.1:1"\noperators = "127.0.0.1:2"\n';
			const parsed = parseToml('d.toml', text, DaemonSettings);
			expect(parsed.success).toBe(false);
			if (!parsed.success) {
				expect(parsed.error.map(issue => `${issue.line} ${issue.path.join('.')}`).toSorted()).toEqual(['1 hostList', '1 store', '2 host.id', '5 host.rack', '7 listen.callers']);
			}
		});
	});
});
