import {isIPv4} from 'node:net';
import {z} from 'zod';

/** Largest TCP or UDP port. */
const maxPort = 65_535;

function isSocketAddress(text: string): boolean {
	const [host, port, ...rest] = text.split(':');
	if (host === undefined || port === undefined || rest.length > 0 || !isIPv4(host) || !/^\d{1,5}$/.test(port)) {
		return false;
	}

	return Number(port) >= 1 && Number(port) <= maxPort;
}

/** An IPv4 number and port, such as `127.0.0.1:8080`; names are not resolved. */
export const SocketAddress = z.string().refine(isSocketAddress, {error: 'expected an IPv4 number and a port, such as "10.0.0.1:8080"'});
