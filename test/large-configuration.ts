import {SeededRandom} from '../src/decisions/seeded-random.js';

const characters = 'abcdefghijklmnopqrstuvwxyz0123456789';
const accounts = 84;

/** Returns the JSON of a configuration with many similar routes, and accounts whose random keys hardly compress. */
export function largeConfiguration(routes: number, seed: number): string {
	const random = new SeededRandom(seed);
	const text = (length: number) => Array.from({length}, () => characters[random.below(characters.length)]).join('');
	return JSON.stringify({
		version: seed,
		resources: [
			...Array.from({length: routes}, () => ({
				resource_kind: 'routes',
				metadata: {name: `r-${text(7)}`},
				spec: {
					host: 'ficu95.example', prefix: `/${text(8)}`, route_type: 'safe', timeout_ms: 3000, target_latency_ms: 1504, priority: 1,
					service: 'huvo11a', max_attempts: 2, public: true, session_affinity: true, allowed_regions: [],
				},
			})),
			...Array.from({length: accounts}, () => ({
				resource_kind: 'accounts', metadata: {name: `a-${text(6)}`}, spec: {keys: [text(20), text(20)]},
			})),
		],
	});
}
