/** Lines of one message that may be written in a second, and those that may come at once. */
type BudgetOptions = {readonly linesPerSecond: number; readonly linesAtOnce: number};

type Account = {left: number; filledMs: number; leftOut: number};

/** Bounds the lines of each message of a log, so that a flood of failures costs no more than a bounded part of the processor. */
export class LineBudget {
	readonly #options: BudgetOptions;
	readonly #accounts = new Map<string, Account>();

	constructor(options: BudgetOptions) {
		this.#options = options;
	}

	/** Takes leave for a line; answers the lines of its message left out before it, or `undefined` if it has to be left out too. */
	take(message: string, nowMs: number): number | undefined {
		const {linesPerSecond, linesAtOnce} = this.#options;
		const account = this.#accounts.get(message) ?? {left: linesAtOnce, filledMs: nowMs, leftOut: 0};
		this.#accounts.set(message, account);
		account.left = Math.min(linesAtOnce, account.left + (linesPerSecond * (nowMs - account.filledMs) / 1000));
		account.filledMs = nowMs;
		if (account.left < 1) {
			account.leftOut++;
			return undefined;
		}

		account.left--;
		const {leftOut} = account;
		account.leftOut = 0;
		return leftOut;
	}
}
