import {type Server} from 'node:http';

/** Opens a server at an IPv4 number and port; `backlog` bounds the connections that wait to be accepted. */
export async function listenAt(server: Server, address: string, backlog?: number): Promise<void> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({port: Number(port), host, backlog}, resolve);
	});
}
