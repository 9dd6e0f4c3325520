import {isIPv4} from 'node:net';
import {z} from 'zod';

const maxPort = 65_535;

function isSocketAddress(text: string): boolean {
	const [host, port, ...rest] = text.split(':');
	if (host === undefined || port === undefined || rest.length > 0 || !isIPv4(host) || !/^\d{1,5}$/.test(port)) {
		return false;
	}

	return Number(port) >= 1 && Number(port) <= maxPort;
}

/** IPv4 address and port, such as `127.0.0.1:8080`; host names are not accepted. */
export const SocketAddress = z.string().refine(isSocketAddress, {error: 'expected an IPv4 address and a port, such as "10.0.0.1:8080"'});
