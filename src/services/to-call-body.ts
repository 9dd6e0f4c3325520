import {type InstanceCall} from '../contracts/instance-call.js';
import {type ProxyRequest} from './proxy-request.js';

type SendableBody = Extract<Awaited<ReturnType<ProxyRequest['readBody']>>, {kind: 'none' | 'whole' | 'stream'}>;

/** Returns a request's body in the form in which it is sent to an instance. */
export function toCallBody(body: SendableBody): InstanceCall['body'] {
	switch (body.kind) {
		case 'whole': {
			return body.bytes;
		}

		case 'stream': {
			return body.source;
		}

		case 'none': {
			return undefined;
		}
	}
}
