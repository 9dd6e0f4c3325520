import {type z} from 'zod';
import {type Result} from '../result.js';
import {DeploymentFile} from './deployment-file.js';
import {type Manifest} from './manifest.js';
import {type Publication} from './publication.js';
import {ServiceFile} from './service-file.js';

type ConfigurationError = {readonly code: 'missing_body' | 'invalid_body'; readonly message: string};

/** A configuration with its bodies, whole and checked, ready to be put into force. */
export class Configuration {
	/** Builds a configuration out of its manifest and bodies; `known` keeps what is parsed already. */
	static assemble(manifest: Manifest, bodies: ReadonlyMap<string, string>, known?: Configuration): Result<Configuration, ConfigurationError> {
		const needed = [manifest.deployment, ...Object.values(manifest.services)];
		const kept = new Map<string, string>();
		for (const digest of needed) {
			const body = bodies.get(digest) ?? known?.bodies.get(digest);
			if (body === undefined) {
				return {success: false, error: {code: 'missing_body', message: `the body ${digest} is missing`}};
			}

			kept.set(digest, body);
		}

		const deployment = known?.manifest.deployment === manifest.deployment
			? {success: true as const, data: known.publication.deployment}
			: parseBody(DeploymentFile, kept.get(manifest.deployment)!);
		if (!deployment.success) {
			return deployment;
		}

		const services: Record<string, ServiceFile> = {};
		for (const [name, digest] of Object.entries(manifest.services)) {
			const isKnown = known?.manifest.services[name] === digest;
			const service = isKnown ? {success: true as const, data: known.publication.services[name]!} : parseBody(ServiceFile, kept.get(digest)!);
			if (!service.success) {
				return service;
			}

			services[name] = service.data;
		}

		return {success: true, data: new Configuration(manifest, {deployment: deployment.data, services}, kept)};
	}

	readonly manifest: Manifest;
	readonly publication: Publication;
	/** Bodies by digest, as published. */
	readonly bodies: ReadonlyMap<string, string>;
	readonly #drained: ReadonlySet<string>;

	private constructor(manifest: Manifest, publication: Publication, bodies: ReadonlyMap<string, string>) {
		this.manifest = manifest;
		this.publication = publication;
		this.bodies = bodies;
		this.#drained = new Set(manifest.drained);
	}

	get revision(): number {
		return this.manifest.revision;
	}

	service(name: string): ServiceFile | undefined {
		return Object.hasOwn(this.publication.services, name) ? this.publication.services[name] : undefined;
	}

	/** Whether operators have drained a place; `kind` is host, instance, zone or region. */
	isDrained(kind: 'host' | 'instance' | 'zone' | 'region', name: string): boolean {
		return this.#drained.has(`${kind}:${name}`);
	}
}

function parseBody<T>(def: z.ZodType<T>, text: string): Result<T, ConfigurationError> {
	let raw: unknown;
	try {
		raw = JSON.parse(text);
	} catch {
		return {success: false, error: {code: 'invalid_body', message: 'a body is not JSON'}};
	}

	const parsed = def.safeParse(raw);
	return parsed.success ? {success: true, data: parsed.data} : {success: false, error: {code: 'invalid_body', message: parsed.error.message}};
}
