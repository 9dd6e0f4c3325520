import process from 'node:process';
import {type Reporter, type TestModule} from 'vitest/node';

/** Prints one line with the counts at the end of a test run, in a form that other programs can read. */
export class PlainReporter implements Reporter {
	onTestRunEnd(modules: readonly TestModule[]): void {
		const counts = {passed: 0, failed: 0, skipped: 0};
		for (const module of modules) {
			for (const test of module.children.allTests()) {
				const {state} = test.result();
				if (state !== 'pending') {
					counts[state]++;
				}
			}
		}

		process.stdout.write(`\n${counts.passed} passed, ${counts.failed} failed, ${counts.skipped} skipped\n`);
	}
}
