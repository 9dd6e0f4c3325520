import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {type Account} from '../src/contracts/account.js';
import {identifyAccount} from '../src/decisions/identify-account.js';
import {SeededRandom} from '../src/decisions/seeded-random.js';

type Table = Parameters<typeof identifyAccount>[0]['table'];

const keyCounts = [100, 100_000];
/** Number of keys in all tables whose memory is measured together, so that a small table's is above the noise of the heap. */
const measuredKeys = 100_000;
/** Each look-up has a text of its own, as requests have: the hash of a text is computed once and kept with it. */
const lookupCount = 500_000;
const nanosecondsPerMicrosecond = 1000;

/** Measures the processor time to identify a request's account and the memory for each key, with one key for each account. */
export async function measureAccounts(): Promise<Record<string, unknown>> {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	return {sizes: keyCounts.map(count => measureCount(count, collectGarbage))};
}

function measureCount(count: number, collectGarbage: () => void): Record<string, number> {
	const random = new SeededRandom(count);
	collectGarbage();
	const beforeBytes = process.memoryUsage().heapUsed;
	const tables = Array.from({length: measuredKeys / count}, () => tableOf(count));
	collectGarbage();
	const tableBytes = process.memoryUsage().heapUsed - beforeBytes;
	const [table] = tables as [Table, ...Table[]];
	const keys = Array.from({length: lookupCount}, () => keyOf(random.below(count)));
	const before = process.cpuUsage();
	let found = 0;
	for (const key of keys) {
		found += identifyAccount({table, isPublic: false, key}).kind === 'account' ? 1 : 0;
	}

	const used = process.cpuUsage(before);
	return {
		keys: count,
		nsPerLookup: Math.round((used.user + used.system) * nanosecondsPerMicrosecond / lookupCount),
		bytesPerKey: Math.round(tableBytes / (tables.length * count)),
		found,
	};
}

function tableOf(count: number): Table {
	const accounts = new Map<string, Account>();
	const accountByKey = new Map<string, Account>();
	for (let index = 0; index < count; index++) {
		const account: Account = {
			name: `account-${index}`, priority: index % 3, allowedRegions: [], quota: {ratePerSecond: 100, burst: 100},
		};
		accounts.set(account.name, account);
		accountByKey.set(keyOf(index), account);
	}

	return {accounts, accountByKey};
}

/** Returns a key of 32 characters as a text of its own, as the HTTP parser does. */
function keyOf(index: number): string {
	return Buffer.from(String(index).padStart(32, 'k')).toString('latin1');
}
