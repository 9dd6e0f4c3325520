import {describe, expect, it} from 'vitest';
import {requestHistory} from '../cli/request-history.js';
import {type InstanceResult} from '../contracts/instance-result.js';
import {type Route} from '../contracts/route.js';
import {RequestLog} from './request-log.js';
import {type SendDecision} from './send-decision.js';

const route: Route = {
	name: 'read', host: 'shop.example', prefix: '/read/', isRepeatable: true, isPublic: false, timeoutMs: 1000,
	targetMs: 200, priority: 1, targets: [], maxAttempts: 2, hasAffinity: true, allowedRegions: [],
};
const admission: Parameters<RequestLog['logEnd']>[0]['admission'] = {
	kind: 'refused', route: undefined, account: undefined, outcome: {kind: 'invalid', reason: 'no_route'},
};
const answer: InstanceResult & {kind: 'whole'} = {
	kind: 'whole', status: 200, headers: [], framing: 'length', body: new Uint8Array(), info: {
		requestId: 'r', isSigned: true, isNotRun: false, isMisdirected: false, instanceId: undefined, isLeaving: false, pauseMs: undefined, load: undefined,
	},
};

const unrestricted: SendDecision = {
	configuration: 7, allowedRegions: [], region: 'a', unconfirmedMs: 0,
};

function setUp() {
	const lines: string[] = [];
	const logger = {
		limited(message: string, fields: Record<string, unknown>) {
			lines.push(JSON.stringify({
				message, host: 'edge-1', timestamp: `${lines.length}`, ...fields,
			}));
		},
	};
	const log = new RequestLog(logger);
	const logAnswer = (requestId: string, failedSends: number, tookMs = 20, decision = unrestricted) => {
		log.logEnd({
			requestId, route, admission, tookMs, outcome: {
				kind: 'answer', result: answer, instanceId: 'i-2', decision, expectedWaitMs: 0, expectedRunMs: 40, failedSends,
			},
		});
	};

	return {lines, logAnswer};
}

describe('request log', () => {
	it('tells the end of every request whose first send failed and whose second one was answered in time', () => {
		const {lines, logAnswer} = setUp();
		const ids = Array.from({length: 200}, (_, index) => `r${index}`);
		for (const id of ids) {
			logAnswer(id, 1);
		}

		expect(ids.filter(id => requestHistory(lines.join('\n'), id).ending === undefined)).toEqual([]);
		expect(requestHistory(lines.join('\n'), 'r7').ending).toBe('request answered after a failed send with status 200 of i-2 by edge-1 after 20 ms');
	});

	it('tells by which configuration a request with homes was sent, and how old the knowledge was', () => {
		const {lines, logAnswer} = setUp();
		logAnswer('r', 1, 20, {...unrestricted, allowedRegions: ['a', 'b'], unconfirmedMs: 300.4});
		expect(JSON.parse(lines[0]!)).toMatchObject({...unrestricted, allowedRegions: 'a b', unconfirmedMs: 300});
	});

	it('samples the requests that the first instance answers in time', () => {
		const {lines, logAnswer} = setUp();
		for (let index = 0; index < 6400; index++) {
			logAnswer(`r${index}`, 0);
		}

		expect(lines.length).toBeGreaterThan(50);
		expect(lines.length).toBeLessThan(150);
	});
});
