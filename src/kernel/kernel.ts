import {type Result} from '../result.js';
import {Lifecycle} from './lifecycle.js';
import {type Registry} from './registry.js';
import {type ServiceDefinition} from './service-definition.js';

type KernelError =
	| {readonly code: 'missing_service'; readonly message: string}
	| {readonly code: 'dependency_cycle'; readonly message: string}
	| {readonly code: 'start_failed'; readonly service: string; readonly message: string};

/** Starts services in the order of their dependencies and stops them in reverse order. */
export class Kernel {
	readonly #defs = new Map<string, ServiceDefinition>();
	readonly #running = new Map<string, unknown>();
	readonly #lifecycle = new Lifecycle();

	/** Adds a service; replaces an earlier definition with the same name. */
	add<Name extends keyof Registry>(def: ServiceDefinition<Name>): this {
		this.#defs.set(def.name, def);
		return this;
	}

	/** Returns a running service; throws if it is not running. */
	get<Name extends keyof Registry>(name: Name): Registry[Name] {
		if (!this.#running.has(name)) {
			throw new Error(`service ${name} is not running`);
		}

		return this.#running.get(name) as Registry[Name];
	}

	/** Starts all services. If one fails to start, those already started are stopped and the error is returned. */
	async start(): Promise<Result<undefined, KernelError>> {
		const order = this.#order();
		if (!order.success) {
			return order;
		}

		for (const def of order.data) {
			try {
				await this.#startOne(def);
			} catch (err) {
				await this.stop();
				return {success: false, error: {code: 'start_failed', service: def.name, message: err instanceof Error ? err.message : String(err)}};
			}
		}

		return {success: true, data: undefined};
	}

	/** Stops all running services in reverse order of their start; returns the failures. */
	async stop(): ReturnType<Lifecycle['close']> {
		return this.#lifecycle.close();
	}

	async #startOne(def: ServiceDefinition): Promise<void> {
		const lifecycle = new Lifecycle();
		this.#lifecycle.addCleanup(def.name, async () => {
			const failures = await lifecycle.close();
			if (failures.length > 0) {
				throw new AggregateError(failures.map(failure => failure.err), `service ${def.name} did not stop cleanly`);
			}
		});
		const service = await def.start({lifecycle, get: name => this.get(name)});
		this.#running.set(def.name, service);
	}

	#order(): Result<ServiceDefinition[], KernelError> {
		const order: ServiceDefinition[] = [];
		const states = new Map<string, 'visiting' | 'done'>();
		const visit = (name: string, requiredBy: string): KernelError | undefined => {
			const def = this.#defs.get(name);
			if (def === undefined) {
				return {code: 'missing_service', message: `${requiredBy} requires the undefined service ${name}`};
			}

			if (states.get(name) === 'visiting') {
				return {code: 'dependency_cycle', message: `${name} depends on itself through ${requiredBy}`};
			}

			if (states.get(name) === 'done') {
				return undefined;
			}

			states.set(name, 'visiting');
			for (const required of def.requires) {
				const err = visit(required, name);
				if (err !== undefined) {
					return err;
				}
			}

			states.set(name, 'done');
			order.push(def);
			return undefined;
		};

		for (const name of this.#defs.keys()) {
			const err = visit(name, 'the kernel');
			if (err !== undefined) {
				return {success: false, error: err};
			}
		}

		return {success: true, data: order};
	}
}
