/** What a host has to do to obtain the newest revision, or to tell its region. */
export type RevisionEffect =
	/** Pulls the changes since the local revision from the daemon at this address. */
	| {readonly kind: 'pull'; readonly address: string}
	/** Pulls from a daemon that states no era; only what can be ordered without one may be taken from its response. */
	| {readonly kind: 'pull_unordered'; readonly address: string}
	/** Reads the current state from the store; a host that watches it then watches from what it read. */
	| {readonly kind: 'read_store'}
	/** Starts or stops the watch on the store. */
	| {readonly kind: 'watch'; readonly isWatching: boolean}
	/** Makes a cheap call to the store, to find out whether it answers this host. */
	| {readonly kind: 'probe_store'}
	/** Tells the region that the store has just answered this host, which watches it and has all changes. */
	| {readonly kind: 'report_contact'}
	/** Tells the region that the store has just answered this host, which watches it, but that changes may still be on their way to it. */
	| {readonly kind: 'report_answer'};
