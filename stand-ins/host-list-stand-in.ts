import {type IncomingMessage, type ServerResponse} from 'node:http';
import {collectBody} from './collect-body.js';
import {HttpStandIn} from './http-stand-in.js';

type Listed = {
	readonly address: string;
	readonly role: 'entry' | 'upstream';
	readonly state: 'live' | 'leaving';
	readonly region: string;
	readonly zone: string;
};

/** The platform's host list in the Prometheus HTTP service-discovery format; changes show after a lag. */
export class HostListStandIn {
	readonly #http = new HttpStandIn((req, res) => {
		void this.#handle(req, res);
	});

	readonly #lagMs: number;
	#visible: readonly Listed[] = [];
	#isOut = false;

	constructor(lagMs: number) {
		this.#lagMs = lagMs;
	}

	async listen(host: string, port: number): Promise<number> {
		return this.#http.listen(host, port);
	}

	async close(): Promise<void> {
		await this.#http.close();
	}

	/** Replaces the list; callers see it after the lag. */
	setHosts(hosts: readonly Listed[]): void {
		if (this.#lagMs === 0) {
			this.#visible = hosts;
			return;
		}

		setTimeout(() => {
			this.#visible = hosts;
		}, this.#lagMs).unref();
	}

	/** Starts or ends an outage, in which every call fails. */
	setOutage(isOut: boolean): void {
		this.#isOut = isOut;
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await collectBody(req).catch(() => '[]');
		if (req.method === 'PUT' && req.url === '/stand-in/hosts') {
			this.setHosts(JSON.parse(body) as Listed[]);
			res.end('{}');
			return;
		}

		if (this.#isOut) {
			res.writeHead(503).end();
			return;
		}

		const groups = this.#visible.map(({address, ...labels}) => ({targets: [address], labels}));
		res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(groups));
	}
}
