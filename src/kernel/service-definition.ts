import {type Lifecycle} from './lifecycle.js';
import {type Registry} from './registry.js';

/** What a service receives when it starts: the services that it requires, by name, and its own life cycle. */
type ServiceContext = {
	readonly get: <Name extends keyof Registry>(name: Name) => Registry[Name];
	readonly lifecycle: Lifecycle;
};

/** A named service: what it requires and how it starts. */
export type ServiceDefinition<Name extends keyof Registry = keyof Registry> = {
	readonly name: Name;
	readonly requires: ReadonlyArray<keyof Registry>;
	readonly start: (ctx: ServiceContext) => Promise<Registry[Name]> | Registry[Name];
};
