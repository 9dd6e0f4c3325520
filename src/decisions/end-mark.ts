import {type InstanceResult} from '../contracts/instance-result.js';

/** A response that is forwarded while it arrives. */
type ArrivingResponse = {
	readonly framing: Extract<InstanceResult, {kind: 'whole'}>['framing'];
	/** HTTP version of the client's request. */
	readonly clientVersion: string;
};

/** How a client is told where a response ends: by a length, by a last chunk, or by a length that is known only once the body is whole. */
type EndMark = 'length' | 'chunks' | 'length_once_whole';

/**
 * Returns how a client is told where a response ends. The end of the connection is never the mark: a connection also ends if this
 * process is killed, and some clients cannot tell a reset from an orderly close. Clients of HTTP/1.0 do not know chunks.
 */
export function endMark({framing, clientVersion}: ArrivingResponse): EndMark {
	if (framing === 'length') {
		return 'length';
	}

	return clientVersion === '1.0' ? 'length_once_whole' : 'chunks';
}
