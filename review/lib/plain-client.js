import {connect} from 'node:net';

/**
 * Sends requests on one new connection, and reads until it ends. Resolves with the bytes received as text in Latin-1, whether the end was
 * clean (a FIN, as opposed to a reset), and the times of the connection's end and of the last byte sent.
 */
export async function exchangeOnConnection(address, text, timeoutMs) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const chunks = [];
		let hasEnded = false;
		const socket = connect({host, port: Number(port)});
		const timer = setTimeout(() => {
			socket.destroy();
		}, timeoutMs);
		socket.setEncoding('latin1');
		socket.on('connect', () => {
			socket.write(text, 'latin1');
		});
		socket.on('data', chunk => chunks.push(chunk));
		socket.on('end', () => {
			hasEnded = true;
		});
		socket.on('error', () => undefined);
		socket.on('close', hadError => {
			clearTimeout(timer);
			resolve({received: chunks.join(''), isCleanEnd: hasEnded && !hadError, endedMs: performance.now()});
		});
	});
}
