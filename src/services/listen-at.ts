import {type Server} from 'node:http';

/** Starts a server on an IPv4 address and port; `backlog` limits the connections that wait to be accepted. */
export async function listenAt(server: Server, address: string, backlog?: number): Promise<void> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({port: Number(port), host, backlog}, resolve);
	});
}
