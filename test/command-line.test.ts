import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {commandExplainService} from '../src/cli/command-explain-service.js';
import {commandCheck} from '../src/cli/command-check.js';
import {commandDrain} from '../src/cli/command-drain.js';
import {commandPublish} from '../src/cli/command-publish.js';
import {commandQuarantine} from '../src/cli/command-quarantine.js';
import {commandStatus} from '../src/cli/command-status.js';
import {type CliContext} from '../src/cli/context.js';
import {exitCode} from '../src/cli/exit-code.js';
import {OperatorClient} from '../src/cli/operator-client.js';
import {type Output} from '../src/cli/output.js';
import {SmallSystem} from './small-system.js';

/** Records the output of a command. */
class RecordedOutput {
	data: unknown;
	lines: readonly string[] = [];
	failure: string | undefined;

	write(data: unknown, lines: readonly string[]): void {
		this.data = data;
		this.lines = lines;
	}

	progress(): void {/* Not recorded. */}

	fail(code: string): void {
		this.failure = code;
	}
}

describe('command line', () => {
	const system = new SmallSystem({regions: {dsm: 2}, instances: 1});
	const folder = mkdtempSync(join(tmpdir(), 'cowslipspar-cli-'));

	beforeAll(async () => system.start());

	afterAll(async () => {
		await system.close();
		rmSync(folder, {recursive: true});
	});

	function context(args: readonly string[], changes: Partial<CliContext> = {}): {ctx: CliContext; output: RecordedOutput} {
		const output = new RecordedOutput();
		const ctx: CliContext = {
			args,
			output: output as unknown as Output,
			operator: new OperatorClient(system.hosts[0]!.settings.listen.operators),
			publisher: system.publisher('cli'),
			waitMs: 5000,
			...changes,
		};
		return {ctx, output};
	}

	it('checks files and lists every problem', async () => {
		const good = context(['examples/mvule']);
		expect(await commandCheck(good.ctx)).toBe(exitCode.ok);
		writeFileSync(join(folder, 'bad.toml'), '[service]\nname = "X"\n');
		const bad = context([folder]);
		expect(await commandCheck(bad.ctx)).toBe(exitCode.invalid);
		expect(bad.output.lines.join('\n')).toMatch(/bad\.toml:2: service\.name: /);
		expect(await commandCheck(context(['/nowhere']).ctx)).toBe(exitCode.invalid);
		expect(await commandCheck(context([]).ctx)).toBe(exitCode.usage);
	});

	it('publishes a folder and waits until it is in force on every host', async () => {
		const {ctx, output} = context(['examples/barid']);
		expect(await commandPublish(ctx)).toBe(exitCode.ok);
		expect(output.data).toMatchObject({
			success: true, revision: 2, hosts: 2, late: [], silent: [],
		});
	});

	it('reports the hosts that have not confirmed a publication in time', async () => {
		await system.crash(system.hosts[1]!);
		const {ctx, output} = context(['examples/mvule'], {waitMs: 300});
		const code = await commandPublish(ctx);
		const {hosts, silent} = output.data as {hosts: number; silent: string[]};
		expect(hosts + silent.length).toBeGreaterThanOrEqual(1);
		expect(code).toBe(silent.length > 0 ? exitCode.pending : exitCode.ok);
		await system.boot(system.hosts[1]!);
		await system.untilReady();
	});

	it('shows every host, explains a service, and reports an unknown one', async () => {
		const status = context([]);
		expect(await commandStatus(status.ctx)).toBe(exitCode.ok);
		expect(status.output.lines).toHaveLength(3);
		const explained = context(['rostrum']);
		expect(await commandExplainService(explained.ctx, false)).toBe(exitCode.ok);
		expect(explained.output.data).toMatchObject({service: 'rostrum', owner: {id: expect.stringMatching(/^dsm-/) as string}});
		expect(await commandExplainService(context(['nothing']).ctx, true)).toBe(exitCode.notFound);
	});

	it('drains and undrains an instance, and refuses an unknown kind', async () => {
		expect(await commandDrain(context(['instance', 'rostrum-dsm-a1']).ctx, true)).toBe(exitCode.ok);
		expect(system.hosts[0]!.kernel.get('config').current?.isDrained('instance', 'rostrum-dsm-a1')).toBe(true);
		expect(await commandDrain(context(['instance', 'rostrum-dsm-a1']).ctx, false)).toBe(exitCode.ok);
		expect(await commandDrain(context(['planet', 'x']).ctx, true)).toBe(exitCode.usage);
	});

	it('lists and lifts quarantined requests', async () => {
		await system.hosts[1]!.kernel.get('quarantine').reportCrash('print', 'rostrum', 'i1');
		await system.hosts[1]!.kernel.get('quarantine').reportCrash('print', 'rostrum', 'i2');
		const listed = context([]);
		expect(await commandQuarantine(listed.ctx)).toBe(exitCode.ok);
		expect(listed.output.lines[0]).toBe('print  rostrum  broke i1, i2');
		expect(await commandQuarantine(context(['lift', 'print']).ctx)).toBe(exitCode.ok);
		expect(await commandQuarantine(context(['lift', 'print']).ctx)).toBe(exitCode.notFound);
	});

	it('reports a missing argument and an unreachable host', async () => {
		expect(await commandStatus(context([], {operator: undefined}).ctx)).toBe(exitCode.usage);
		expect(await commandStatus(context([], {operator: new OperatorClient('127.0.0.1:9')}).ctx)).toBe(exitCode.unreachable);
		expect(await commandPublish(context(['examples/mvule'], {publisher: undefined}).ctx)).toBe(exitCode.usage);
	});
});
