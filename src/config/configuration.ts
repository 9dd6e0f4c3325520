import {type z} from 'zod';
import {type Result} from '../result.js';
import {DeploymentFile} from './deployment-file.js';
import {type Manifest} from './manifest.js';
import {type Publication} from './publication.js';
import {ServiceFile} from './service-file.js';

type ConfigurationError = {readonly code: 'missing_body' | 'invalid_body'; readonly message: string};

/** A complete, validated configuration. */
export class Configuration {
	/**
	 * Builds a configuration from its manifest and its bodies by digest. Bodies that are missing from `bodies` are taken from the earlier
	 * configuration `known`, whose parsed files are reused if their digests are the same. Returns an error if a body is missing or invalid.
	 */
	static assemble(manifest: Manifest, bodies: ReadonlyMap<string, string>, known?: Configuration): Result<Configuration, ConfigurationError> {
		const digests = [manifest.deployment, ...Object.values(manifest.services)];
		const requiredBodies = new Map<string, string>();
		for (const digest of digests) {
			const body = bodies.get(digest) ?? known?.bodies.get(digest);
			if (body === undefined) {
				return {success: false, error: {code: 'missing_body', message: `no body with the digest ${digest}`}};
			}

			requiredBodies.set(digest, body);
		}

		const deployment = known?.manifest.deployment === manifest.deployment
			? {success: true as const, data: known.publication.deployment}
			: parseBody(DeploymentFile, requiredBodies.get(manifest.deployment)!);
		if (!deployment.success) {
			return deployment;
		}

		const services: Record<string, ServiceFile> = {};
		for (const [name, digest] of Object.entries(manifest.services)) {
			const isKnown = known?.manifest.services[name] === digest;
			const service = isKnown ? {success: true as const, data: known.publication.services[name]!} : parseBody(ServiceFile, requiredBodies.get(digest)!);
			if (!service.success) {
				return service;
			}

			services[name] = service.data;
		}

		return {success: true, data: new Configuration(manifest, {deployment: deployment.data, services}, requiredBodies)};
	}

	readonly manifest: Manifest;
	readonly publication: Publication;
	/** Published bodies, JSON texts by digest. */
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

	/** Returns whether operators have drained a host, an instance, a zone or a region. */
	isDrained(kind: 'host' | 'instance' | 'zone' | 'region', name: string): boolean {
		return this.#drained.has(`${kind}:${name}`);
	}
}

function parseBody<T>(schema: z.ZodType<T>, text: string): Result<T, ConfigurationError> {
	let raw: unknown;
	try {
		raw = JSON.parse(text);
	} catch {
		return {success: false, error: {code: 'invalid_body', message: 'the body is not valid JSON'}};
	}

	const parsed = schema.safeParse(raw);
	return parsed.success ? {success: true, data: parsed.data} : {success: false, error: {code: 'invalid_body', message: parsed.error.message}};
}
