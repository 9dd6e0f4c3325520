import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {readSettings} from '../platform/settings.js';
import {platformSettingsFields} from '../stand-ins/platform-settings-fields.js';
import {renderTemplate} from '../stand-ins/render-template.js';

describe('renderTemplate', () => {
	it('renders values, lists, tables and sections', () => {
		const fields = {
			a: {b: 7}, list: ['x', 'y'], table: {k: 1, l: 2}, isOff: false,
		};
		expect(renderTemplate('{{a.b}} {{list.1}} [{{list}}] {{none}}|', fields)).toBe('7 y [x,y] |');
		expect(renderTemplate('{{#list}}"{{.}}"{{,}}{{/list}}', fields)).toBe('"x","y"');
		expect(renderTemplate('{{#table}}{{@}}={{.}};{{/table}}', fields)).toBe('k=1;l=2;');
		expect(renderTemplate('{{#isOff}}a{{/isOff}}{{^isOff}}b{{/isOff}}{{^list}}c{{/list}}', fields)).toBe('b');
	});

	it('renders the template in deploy/ to settings that the daemon accepts', () => {
		const text = renderTemplate(readFileSync('deploy/daemon.toml', 'utf8'), platformSettingsFields({
			id: 'edge-dsm-a-1',
			region: 'dsm',
			zone: 'dsm-a',
			ip: '10.1.0.18',
			zones: {'dsm-a': 'dsm', 'aru-a': 'aru'},
			seeds: ['10.1.0.18', '10.2.0.34'],
			storeAddress: '10.200.1.7:8384',
		}));
		const settings = readSettings('boot.toml', text);
		expect(settings).toMatchObject({
			success: true,
			data: {
				host: {id: 'edge-dsm-a-1', region: 'dsm', zone: 'dsm-a'},
				seeds: ['10.1.0.18:7200', '10.2.0.34:7200'], bounds: {retryRatio: 0.2, retryWindowMs: 10_000, graceMs: 6000},
				store: {address: '10.200.1.7:8384'},
				capacity: {
					cpuShare: 0.378, cores: 1, memoryMb: 272, maxDescriptors: 2870, linkMbps: 700,
				},
			},
		});
		const [, metricsPort] = /metrics = "(\d+)\//.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
		expect(settings.success && settings.data.listen.metrics).toBe(`10.1.0.18:${metricsPort}`);
	});
});
