/** Entry of a host in the platform's list. */
export type ListedHost = {
	/** IPv4 address and port. */
	readonly address: string;
	readonly role: 'entry' | 'upstream';
	readonly state: 'live' | 'leaving';
	readonly region: string;
	readonly zone: string;
};
