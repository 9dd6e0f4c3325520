import {Buffer} from 'node:buffer';
import {decode, encode} from '@msgpack/msgpack';
import {HomeToken} from '../contracts/home-token.js';

const maxKeyCharacters = 400;

/** Encodes home tokens as text and parses the idempotency keys made from them, `TOKEN.PART`. */
export const tokenWire = {
	/** Encodes a token as text of letters, digits, `-` and `_`. */
	encode(token: HomeToken): string {
		const fields = [token.id, token.home, token.homeAddress, token.backup, token.backupAddress];
		return Buffer.from(encode(fields)).toString('base64url');
	},

	/** Splits an idempotency key into its token and the caller's part; returns `undefined` if it is malformed. */
	parseKey(key: string): {readonly token: HomeToken; readonly part: string} | undefined {
		const [text, part, ...rest] = key.split('.');
		if (key.length > maxKeyCharacters || text === undefined || part === undefined || rest.length > 0 || !/^[\w-]{1,64}$/.test(part)) {
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
