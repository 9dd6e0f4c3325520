import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {Outcome} from './outcome.js';

const Bytes = z.codec(z.string(), z.custom<Uint8Array>(value => value instanceof Uint8Array), {
	decode: text => new Uint8Array(Buffer.from(text, 'base64')),
	encode: bytes => Buffer.from(bytes).toString('base64'),
});

const [whole, notRun, unknown] = Outcome.options;

/** JSON form of an outcome: the body of a complete response is encoded in base64. */
export const OutcomeWire = z.discriminatedUnion('kind', [whole.extend({body: Bytes}), notRun, unknown]);
