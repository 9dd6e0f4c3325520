import {request} from 'node:http';

/** Sends one request on a connection of its own; returns its status (0 without an answer), its text and the time that it took. */
export async function send({ip, method = 'GET', path, id, key, body, deadlineMs = 2000}) {
	const startMs = performance.now();
	return new Promise(resolve => {
		const settle = (status, text) => {
			resolve({status, text, tookMs: performance.now() - startMs});
		};

		const req = request({
			host: ip, port: 8381, method, path, agent: false, headers: {
				Host: 'shop.example',
				'X-Request-Id': id,
				'X-Deadline-Ms': String(deadlineMs),
				...(key !== undefined && {'X-Affinity-Key': key}),
				...(body !== undefined && {'Content-Length': String(body.length)}),
			},
		}, res => {
			let text = '';
			res.setEncoding('latin1');
			res.on('data', part => {
				text += part;
			}).on('end', () => {
				settle(res.statusCode, text);
			}).on('error', err => {
				settle(0, err.message);
			});
		});
		const timer = setTimeout(() => {
			req.destroy(new Error('the deadline has passed'));
		}, deadlineMs);
		req.on('error', err => {
			settle(0, err.message);
		}).on('close', () => {
			clearTimeout(timer);
		});
		req.end(body);
	});
}
