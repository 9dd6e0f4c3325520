import {type IncomingMessage, type ServerResponse} from 'node:http';
import {collectBody} from './collect-body.js';
import {HttpStandIn} from './http-stand-in.js';

type ListedHost = {
	readonly address: string;
	readonly role: 'entry' | 'upstream';
	readonly state: 'live' | 'leaving';
	readonly region: string;
	readonly zone: string;
};

/** Serves the platform's host list in the Prometheus HTTP service-discovery format; changes become visible after a lag. */
export class HostListStandIn {
	readonly #http = new HttpStandIn((req, res) => {
		void this.#handle(req, res);
	});

	readonly #lagMs: number;
	#visibleHosts: readonly ListedHost[] = [];
	#isUnavailable = false;

	constructor(lagMs: number) {
		this.#lagMs = lagMs;
	}

	async listen(host: string, port: number): Promise<number> {
		return this.#http.listen(host, port);
	}

	async close(): Promise<void> {
		await this.#http.close();
	}

	/** Replaces the list; responses contain the new one after the lag. */
	setHosts(hosts: readonly ListedHost[]): void {
		if (this.#lagMs === 0) {
			this.#visibleHosts = hosts;
			return;
		}

		setTimeout(() => {
			this.#visibleHosts = hosts;
		}, this.#lagMs).unref();
	}

	/** Starts or ends an outage, during which the server responds with 503 to every call but the one that replaces the list. */
	setOutage(isUnavailable: boolean): void {
		this.#isUnavailable = isUnavailable;
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await collectBody(req).catch(() => '[]');
		if (req.method === 'PUT' && req.url === '/stand-in/hosts') {
			this.setHosts(JSON.parse(body) as ListedHost[]);
			res.end('{}');
			return;
		}

		if (this.#isUnavailable) {
			res.writeHead(503).end();
			return;
		}

		const groups = this.#visibleHosts.map(({address, ...labels}) => ({targets: [address], labels}));
		res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(groups));
	}
}
