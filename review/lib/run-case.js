import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const limitMs = 110_000;
const exitCodes = {held: 0, broken: 1, notRun: 2};

/**
 * Runs a case: `play` gets a function that adds a line to the record, a function that registers a cleanup, and whether to bring about
 * the disruption; it returns the violations found. Writes `record.txt` beside the case and exits with 0, 1 or 2.
 */
export async function runCase(caseUrl, play) {
	const lines = [];
	const cleanups = [];
	const startMs = performance.now();
	process.on('uncaughtException', err => {
		record(`uncaught: ${err.stack}`);
		end(exitCodes.notRun);
	});
	const record = text => {
		lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} ${text}`);
	};

	let isEnding = false;
	const end = async code => {
		if (isEnding) {
			return;
		}

		isEnding = true;
		for (const cleanup of cleanups.toReversed()) {
			await cleanup().catch(err => {
				record(`cleanup failed: ${err.message}`);
			});
		}

		record(`exit ${code}`);
		writeFileSync(fileURLToPath(new URL('record.txt', caseUrl)), `${lines.join('\n')}\n`);
		// eslint-disable-next-line unicorn/no-process-exit -- what the play still waits for must not go on
		process.exit(code);
	};

	for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
		process.once(signal, () => {
			end(exitCodes.notRun);
		});
	}

	setTimeout(() => {
		record(`not ended within ${limitMs} ms`);
		end(exitCodes.notRun);
	}, limitMs).unref();
	const isTroubled = process.env.TROUBLE !== '0';
	record(isTroubled ? 'with the disruption' : 'without the disruption');
	try {
		const violations = await play({
			record, isTroubled, addCleanup(cleanup) {
				cleanups.push(cleanup);
			},
		});
		for (const violation of violations) {
			record(`VIOLATION ${violation}`);
		}

		const summary = violations.length === 0 ? 'the rule held' : `the rule was broken: ${violations.length} violations, the first: ${violations[0]}`;
		record(summary);
		process.stdout.write(`${summary}\n`);
		await end(violations.length === 0 ? exitCodes.held : exitCodes.broken);
	} catch (err) {
		record(`the case could not run: ${err.stack}`);
		process.stderr.write(`the case could not run: ${err.stack}\n`);
		await end(exitCodes.notRun);
	}
}
