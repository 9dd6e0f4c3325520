import {Configuration} from '../config/configuration.js';
import {type Manifest} from '../config/manifest.js';
import {type ConfigPull} from '../contracts/config-pull.js';
import {type Result} from '../result.js';
import {digestText} from './digest-text.js';

type PullError = {readonly code: string; readonly message: string};

/** Builds the configuration that a peer sent, on top of the one in force here. Fails if a body does not match its digest. */
export function applyPull(pull: ConfigPull, current: Configuration | undefined): Result<Configuration, PullError> {
	const bodies = new Map(Object.entries(pull.bodies));
	for (const [digest, body] of bodies) {
		if (digestText(body) !== digest) {
			return {success: false, error: {code: 'digest_mismatch', message: `a configuration body does not match its digest ${digest}`}};
		}
	}

	const services = {...(pull.isPatch ? current?.manifest.services : {}), ...pull.services};
	const kept = Object.fromEntries(Object.entries(services).filter(([, digest]) => digest !== ''));
	const manifest: Manifest = {...pull.manifest, services: kept};
	return Configuration.assemble(manifest, bodies, current);
}
