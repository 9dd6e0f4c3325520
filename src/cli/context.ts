import {type Publisher} from '../publisher.js';
import {type OperatorClient} from './operator-client.js';
import {type Output} from './output.js';

/** Context in which a command of `cowslipspar` runs. */
export type CliContext = {
	readonly args: readonly string[];
	readonly output: Output;
	/** Client for the host that is queried; `undefined` without `--host`. */
	readonly operator: OperatorClient | undefined;
	/** Publishes to the store; `undefined` without `--store`. */
	readonly publisher: Publisher | undefined;
	/** Longest time to wait until a publication is in force. */
	readonly waitMs: number;
};
