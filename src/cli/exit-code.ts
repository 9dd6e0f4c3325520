/** Exit codes of `cowslipspar`. */
export const exitCode = {
	ok: 0,
	/** The call itself is wrong: unknown command, missing argument. */
	usage: 1,
	/** The operators' files have problems. */
	invalid: 2,
	/** Another publication came first. */
	conflict: 3,
	/** The store or a host could not be reached. */
	unreachable: 4,
	/** Published, but not yet in force at every host that was seen. */
	pending: 5,
	/** What was asked for does not exist. */
	notFound: 6,
} as const;
