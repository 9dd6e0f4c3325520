/** A host as the platform lists it. */
export type ListedHost = {
	/** IPv4 number and port. */
	readonly address: string;
	readonly role: 'entry' | 'upstream';
	readonly state: 'live' | 'leaving';
	readonly region: string;
	readonly zone: string;
};
