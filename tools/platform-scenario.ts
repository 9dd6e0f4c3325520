/** What the demo and the soak of the platform send, and to which services. */
export const platformScenario = {
	/** Host name of the requests. */
	host: 'shop.example',
	services: ['catalogue', 'ledger'],
	/** Kinds of requests: the prefix of the path, which the request's id follows; those with a body may run at most once. */
	kinds: [
		{
			name: 'lot-view', path: '/lots/', method: 'GET', perSecond: 60,
		},
		{
			name: 'settle', path: '/settle/', method: 'POST', perSecond: 30,
		},
	],
} as const;
