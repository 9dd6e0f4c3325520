import {describe, expect, it} from 'vitest';
import {type ListedHost} from '../contracts/listed-host.js';
import {type Member} from '../contracts/member.js';
import {DirectoryService} from './directory-service.js';
import {Metrics} from './metrics.js';

const members: readonly Member[] = Array.from({length: 8}, (_, index) => ({
	id: `edge-${index}`, boot: 'b', region: 'dsm', zone: index < 6 ? 'dsm-a' : 'dsm-b', callers: `10.0.0.${index}:80`, peers: `10.0.0.${index}:7200`,
}));
const addressesOf = (list: readonly Member[]) => list.map(({callers}) => callers);

function directoryOf({processors, present = members}: {readonly processors: readonly number[]; readonly present?: readonly Member[]}) {
	const hosts = new Map(processors.map((processor, index): [string, ListedHost] => [`edge-${index}`, {
		address: members[index]!.peers, role: 'entry', state: 'live', region: 'dsm', zone: members[index]!.zone, size: {processor, linkMbps: processor * 10},
	}]));
	const state = {
		candidates: present, busy: new Map<string, number>(), lines: [] as unknown[], hosts, hostsByRegion: new Map([['dsm', processors.length]]),
	};
	const directory = new DirectoryService({
		members: {membership: {candidates: () => state.candidates, busyLevelOf: key => state.busy.get(key) ?? 0}},
		steering: {hosts, hostsByRegion: () => state.hostsByRegion},
		logger: {
			limited(message, fields) {
				state.lines.push([message, fields]);
			},
		},
		metrics: new Metrics(),
		ttlMs: 1000,
	});
	return {directory, state};
}

describe('directory', () => {
	it('returns all hosts of the zone, as before, while sizes are equal or unknown', () => {
		for (const processors of [[], Array.from({length: 8}, () => 0.6)]) {
			const {directory, state} = directoryOf({processors});
			expect(directory.resolve('dsm-a', '10.9.0.1').addresses).toEqual(addressesOf(members.slice(0, 6)));
			expect(state.lines).toEqual([]);
		}
	});

	it('returns all hosts of the region, as before, for a zone without enough hosts', () => {
		const {directory} = directoryOf({processors: [1, 2, 3, 4, 5, 6, 7, 8], present: members.slice(0, 7)});
		for (const zone of ['dsm-b', 'elsewhere', undefined]) {
			expect(directory.resolve(zone, '10.9.0.1').addresses).toEqual(addressesOf(members.slice(0, 7)));
		}
	});

	it('never names a host that has left, though clients got it before, and logs the changed shares once', () => {
		const {directory, state} = directoryOf({processors: [1, 2, 3, 4, 5, 7]});
		const clients = Array.from({length: 50}, (_, index) => `10.9.0.${index}`);
		expect(clients.some(client => directory.resolve('dsm-a', client).addresses.includes('10.0.0.5:80'))).toBe(true);
		state.candidates = members.filter(({id}) => id !== 'edge-5');
		expect(clients.some(client => directory.resolve('dsm-a', client).addresses.includes('10.0.0.5:80'))).toBe(false);
		expect(state.lines).toHaveLength(2);
	});

	it('keeps the answers when entries vanish from the store while their hosts serve', () => {
		const {directory, state} = directoryOf({processors: [1, 2, 3, 4, 5, 7]});
		const answers = () => Array.from({length: 50}, (_, index) => directory.resolve('dsm-a', `10.9.0.${index}`).addresses);
		const before = answers();
		state.hosts.clear();
		state.hostsByRegion = new Map();
		expect(answers()).toEqual(before);
	});

	it('names a busy host in fewer answers', () => {
		const {directory, state} = directoryOf({processors: [1, 2, 3, 4, 5, 7]});
		const clients = Array.from({length: 400}, (_, index) => `10.9.${index % 4}.${index}`);
		const count = () => clients.filter(client => directory.resolve('dsm-a', client).addresses.includes('10.0.0.5:80')).length;
		const usual = count();
		state.busy.set('edge-5/b', 3);
		state.candidates = [...members];
		expect(count()).toBeLessThan(usual / 2);
	});
});
