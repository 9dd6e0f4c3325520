import {type Result} from '../result.js';
import {DeploymentFile} from './deployment-file.js';
import {type Issue} from './issue.js';
import {locateKey} from './locate-key.js';
import {parseToml} from './parse-toml.js';
import {type Publication} from './publication.js';
import {ServiceFile} from './service-file.js';

/** One of the operators' files. */
type SourceFile = {readonly name: string; readonly text: string};

/** Merges the operators' files into one publication; returns all problems found in the files and between them. */
export function collectPublication(files: readonly SourceFile[]): Result<Publication, readonly Issue[]> {
	const issues: Issue[] = [];
	const deployments: Array<{source: SourceFile; file: DeploymentFile}> = [];
	const services: Array<{source: SourceFile; file: ServiceFile}> = [];
	for (const source of files) {
		const isDeployment = /^\s*\[deployment]/m.test(source.text);
		if (isDeployment) {
			const parsed = parseToml(source.name, source.text, DeploymentFile);
			if (parsed.success) {
				deployments.push({source, file: parsed.data});
			} else {
				issues.push(...parsed.error);
			}
		} else {
			const parsed = parseToml(source.name, source.text, ServiceFile);
			if (parsed.success) {
				services.push({source, file: parsed.data});
			} else {
				issues.push(...parsed.error);
			}
		}
	}

	issues.push(...checkAcrossFiles(deployments, services, files));
	const [deployment] = deployments;
	if (issues.length > 0 || deployment === undefined) {
		return {success: false, error: issues};
	}

	return {success: true, data: {deployment: deployment.file, services: Object.fromEntries(services.map(({file}) => [file.service.name, file]))}};
}

function checkAcrossFiles(
	deployments: ReadonlyArray<{source: SourceFile; file: DeploymentFile}>,
	services: ReadonlyArray<{source: SourceFile; file: ServiceFile}>,
	files: readonly SourceFile[],
): Issue[] {
	const issues: Issue[] = [];
	if (deployments.length === 0 && !files.some(file => /^\s*\[deployment]/m.test(file.text))) {
		issues.push({
			code: 'missing_deployment', file: files[0]?.name ?? '(none)', path: [], message: 'no file contains a [deployment] table; exactly one file must',
		});
	}

	for (const {source} of deployments.slice(1)) {
		issues.push({
			code: 'repeated_deployment', file: source.name, line: 1, path: ['deployment'], message: `the deployment is also defined in ${deployments[0]?.source.name ?? ''}`,
		});
	}

	const fileNamesByService = new Map<string, string>();
	const servicesByAddress = new Map<string, string>();
	for (const {source, file} of services) {
		const other = fileNamesByService.get(file.service.name);
		if (other !== undefined) {
			issues.push(issueAt(source, 'repeated_service', ['service', 'name'], `the service is also defined in ${other}`));
		}

		fileNamesByService.set(file.service.name, source.name);
		issues.push(...checkPlaces(source, file, deployments[0]?.file, servicesByAddress));
	}

	return issues;
}

function issueAt(source: SourceFile, code: string, path: ReadonlyArray<string | number>, message: string): Issue {
	return {
		code, file: source.name, line: locateKey(source.text, path), path, message,
	};
}

function checkPlaces(source: SourceFile, file: ServiceFile, deployment: DeploymentFile | undefined, servicesByAddress: Map<string, string>): Issue[] {
	const issues: Issue[] = [];
	for (const [index, place] of file.places.entries()) {
		const path = ['places', index];
		const region = deployment?.regions.find(item => item.name === place.region);
		if (deployment !== undefined && region === undefined) {
			const known = deployment.regions.map(item => item.name).join(', ');
			issues.push(issueAt(source, 'unknown_region', [...path, 'region'], `unknown region "${place.region}"; expected one of: ${known}`));
		} else if (region !== undefined && !region.zones.includes(place.zone)) {
			issues.push(issueAt(source, 'unknown_zone', [...path, 'zone'], `region ${region.name} has no zone "${place.zone}"; expected one of: ${region.zones.join(', ')}`));
		}

		for (const instance of place.instances) {
			const other = servicesByAddress.get(instance.address);
			if (other !== undefined && other !== file.service.name) {
				issues.push(issueAt(source, 'repeated_address', [...path, 'instances'], `the address ${instance.address} is also used by an instance of ${other}`));
			}

			servicesByAddress.set(instance.address, file.service.name);
		}
	}

	return issues;
}
