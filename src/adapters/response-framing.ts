import {type InstanceResult} from '../contracts/instance-result.js';

type FramingHeaders = {readonly transferEncoding: string | undefined; readonly contentLength: string | undefined};

/** Returns how the end of a response's body is marked (RFC 9112, section 6.3): chunks only if they are the last transfer coding. */
export function responseFraming({transferEncoding, contentLength}: FramingHeaders): Extract<InstanceResult, {kind: 'whole'}>['framing'] {
	if (transferEncoding !== undefined) {
		return transferEncoding.toLowerCase().split(',').at(-1)!.trim() === 'chunked' ? 'chunks' : 'connection';
	}

	return contentLength === undefined ? 'connection' : 'length';
}
