import {SeededRandom} from '../src/decisions/seeded-random.js';

type ModelOptions = {
	readonly seed: number;
	readonly clients: number;
	readonly seconds: number;
	/** Returns the indices of the hosts that an answer names, for a client and the number of its look-up. */
	readonly resolve: (client: string, lookup: number, nowSeconds: number) => readonly number[];
	readonly hosts: number;
};

type ModelResult = {
	/** Share of the open connections that each host has, on average over time. */
	readonly shares: readonly number[];
	/** Number of connections that clients closed because an answer did not name their host any more, per client and minute. */
	readonly dropsPerClientMinute: number;
	readonly opensPerClientMinute: number;
};

const connectionsPerClient = 4;
/** A client closes each connection after this time on average, whatever the answers are. */
const meanLifeSeconds = 30;
/** Clients cache an answer for 1 s, every third one for 3 s. */
const cacheSeconds = [1, 1, 3] as const;

/** Plays clients that look up hosts, keep connections to random ones of them, and drop those whose host an answer does not name, in virtual time. */
export function playDirectoryClients({
	seed, clients, seconds, resolve, hosts,
}: ModelOptions): ModelResult {
	const random = new SeededRandom(seed);
	const connectionSeconds = Array.from({length: hosts}, () => 0);
	let drops = 0;
	let opens = 0;
	for (let index = 0; index < clients; index++) {
		const name = `10.${index % 7}.${Math.floor(index / 250)}.${index % 250}`;
		const cache = cacheSeconds[index % cacheSeconds.length]!;
		const offset = random.below(cache);
		let named: readonly number[] = [];
		let open: number[] = [];
		for (let second = 0; second < seconds; second++) {
			if (second === 0 || (second + offset) % cache === 0) {
				named = resolve(name, second, second);
				const current = named;
				const kept = open.filter(host => current.includes(host));
				drops += open.length - kept.length;
				open = kept;
			}

			open = open.filter(() => random.next() >= 1 / meanLifeSeconds);
			while (open.length < connectionsPerClient) {
				open.push(named[random.below(named.length)]!);
				opens++;
			}

			for (const host of open) {
				connectionSeconds[host]!++;
			}
		}
	}

	const total = connectionSeconds.reduce((sum, value) => sum + value, 0);
	const clientMinutes = clients * seconds / 60;
	return {shares: connectionSeconds.map(value => value / total), dropsPerClientMinute: drops / clientMinutes, opensPerClientMinute: opens / clientMinutes};
}
