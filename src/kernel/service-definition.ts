import {type Lifecycle} from './lifecycle.js';
import {type Registry} from './registry.js';

/** Context of a service's start: access to the services that it requires, and the lifecycle that ends with the service. */
type ServiceContext = {
	readonly get: <Name extends keyof Registry>(name: Name) => Registry[Name];
	readonly lifecycle: Lifecycle;
};

/** Definition of a service: its name, the names of the services that must start before it, and the function that starts it. */
export type ServiceDefinition<Name extends keyof Registry = keyof Registry> = {
	readonly name: Name;
	readonly requires: ReadonlyArray<keyof Registry>;
	readonly start: (ctx: ServiceContext) => Promise<Registry[Name]> | Registry[Name];
};
