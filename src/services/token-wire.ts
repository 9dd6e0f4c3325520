import {Buffer} from 'node:buffer';
import {decode, encode} from '@msgpack/msgpack';
import {HomeToken} from '../contracts/home-token.js';

/** Longest idempotency key, in characters. */
const maxKeyLength = 400;

/** Text form of home tokens, and of the idempotency keys made from them: `TOKEN.PART`. */
export const tokenWire = {
	/** Text form of a token; letters, digits, `-` and `_` only. */
	encode(token: HomeToken): string {
		const fields = [token.id, token.home, token.homeAddress, token.backup, token.backupAddress];
		return Buffer.from(encode(fields)).toString('base64url');
	},

	/** Splits an idempotency key into its token and the caller's part; `undefined` if it is malformed. */
	parseKey(key: string): {readonly token: HomeToken; readonly part: string} | undefined {
		const [text, part, ...rest] = key.split('.');
		if (key.length > maxKeyLength || text === undefined || part === undefined || rest.length > 0 || !/^[\w-]{1,64}$/.test(part)) {
			return undefined;
		}

		const token = decodeToken(text);
		const isCanonical = token !== undefined && this.encode(token) === text;
		return isCanonical ? {token, part} : undefined;
	},
};

function decodeToken(text: string): HomeToken | undefined {
	try {
		const fields = decode(Buffer.from(text, 'base64url')) as unknown[];
		const [id, home, homeAddress, backup, backupAddress] = fields;
		const parsed = HomeToken.safeParse({
			id, home, homeAddress, backup, backupAddress,
		});
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
