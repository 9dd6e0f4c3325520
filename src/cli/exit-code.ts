/** Exit codes of `cowslipspar`. */
export const exitCode = {
	ok: 0,
	/** Invalid usage, for example an unknown command or a missing argument. */
	usage: 1,
	/** The operators' files are invalid. */
	invalid: 2,
	/** Another publication was first. */
	conflict: 3,
	/** The store or a host is unreachable. */
	unreachable: 4,
	/** Published, but not yet in force at every known host. */
	pending: 5,
	/** The requested service, request or quarantined fingerprint does not exist. */
	notFound: 6,
} as const;
