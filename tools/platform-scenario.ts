/** Services and requests of the platform's demo and soak test. */
export const platformScenario = {
	/** Host name of the requests. */
	host: 'shop.example',
	services: ['catalogue', 'ledger'],
	/** Kinds of requests. `path` is a prefix, followed by the request's id; a POST request may run at most once. */
	kinds: [
		{
			name: 'lot-view', path: '/lots/', method: 'GET', perSecond: 60,
		},
		{
			name: 'settle', path: '/settle/', method: 'POST', perSecond: 30,
		},
	],
} as const;
