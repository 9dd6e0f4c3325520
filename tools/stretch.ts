import {type Publication} from '../src/config/publication.js';

/**
 * The same deployment with all targets and deadlines longer by a factor. With service times longer by the same factor
 * the policy meets the same proportions at a rate of requests that one machine can carry.
 */
export function stretch(publication: Publication, factor: number): Publication {
	const services = Object.entries(publication.services).map(([name, file]) => {
		const classes = file.classes.map(def => ({...def, targetMs: def.targetMs * factor, deadlineMs: def.deadlineMs * factor}));
		return [name, {...file, classes}] as const;
	});
	return {...publication, services: Object.fromEntries(services)};
}
