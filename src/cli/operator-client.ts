import {request} from 'undici';
import {z} from 'zod';
import {HostStatus} from '../contracts/host-status.js';
import {type Result} from '../result.js';

type OperatorError = {readonly code: 'unreachable'; readonly message: string};

const SystemStatus = z.object({hosts: z.array(HostStatus), silent: z.array(z.string())});

type SystemStatus = Readonly<z.infer<typeof SystemStatus>>;

const timeoutMs = 8000;

/** Client for the operators' interface of a host. */
export class OperatorClient {
	readonly #address: string;

	constructor(address: string) {
		this.#address = address;
	}

	async status(scope: 'host' | 'region' | 'system'): Promise<Result<SystemStatus, OperatorError>> {
		const response = await this.get(`/v1/status?scope=${scope}`);
		if (!response.success) {
			return response;
		}

		const parsed = SystemStatus.safeParse(response.data);
		return parsed.success ? parsed : {success: false, error: {code: 'unreachable', message: `${this.#address}: the status has an unexpected shape`}};
	}

	async get(path: string): Promise<Result<unknown, OperatorError>> {
		return this.#call('GET', path);
	}

	async delete(path: string): Promise<Result<unknown, OperatorError>> {
		return this.#call('DELETE', path);
	}

	async #call(method: 'GET' | 'DELETE', path: string): Promise<Result<unknown, OperatorError>> {
		try {
			const res = await request(`http://${this.#address}${path}`, {method, headersTimeout: timeoutMs, bodyTimeout: timeoutMs});
			return {success: true, data: await res.body.json()};
		} catch (err) {
			return {success: false, error: {code: 'unreachable', message: `${this.#address}: ${err instanceof Error ? err.message : String(err)}`}};
		}
	}
}
