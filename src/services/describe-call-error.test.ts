import {expect, it} from 'vitest';
import {monotonicClock} from '../adapters/monotonic-clock.js';
import {HttpStandIn} from '../../stand-ins/http-stand-in.js';
import {nextLoopbackAddress} from '../../test/next-loopback-address.js';
import {describeCallError} from './describe-call-error.js';
import {PeerClient} from './peer-client.js';

it('an unreadable response of a peer is described without its text, which may contain keys', async () => {
	const server = new HttpStandIn((_, res) => {
		res.end('{"result": {"data": {"items": [s3cret]}}}');
	});
	const host = nextLoopbackAddress();
	await server.listen(host, 7200);
	const client = new PeerClient(monotonicClock, 1_048_576);
	const err = await client.steering(`${host}:7200`).items.mutate({haveRevision: 0, acceptsGaps: true}).catch((err: unknown) => err);
	expect(describeCallError(err)).toBe('the response is not valid JSON');
	expect(describeCallError(new Error('no response'))).toBe('Error: no response');
	client.close();
	await server.close();
});
