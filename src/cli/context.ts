import {type Publisher} from '../publisher.js';
import {type OperatorClient} from './operator-client.js';
import {type Output} from './output.js';

/** What a command of `cowslipspar` works with. */
export type CliContext = {
	readonly args: readonly string[];
	readonly output: Output;
	/** Host asked about the system; `undefined` without `--host`. */
	readonly operator: OperatorClient | undefined;
	/** Access to the store; `undefined` without `--store`. */
	readonly publisher: Publisher | undefined;
	/** Time to wait until a publication is in force, in milliseconds. */
	readonly waitMs: number;
};
