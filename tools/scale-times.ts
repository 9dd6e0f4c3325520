import {type Publication} from '../src/config/publication.js';

/**
 * Multiplies all targets and deadlines of a deployment by a factor. If the service times are multiplied by the same
 * factor, all ratios that the policy depends on stay the same, at a request rate that one machine can sustain.
 */
export function scaleTimes(publication: Publication, factor: number): Publication {
	const services = Object.entries(publication.services).map(([name, file]) => {
		const classes = file.classes.map(def => ({...def, targetMs: def.targetMs * factor, deadlineMs: def.deadlineMs * factor}));
		return [name, {...file, classes}] as const;
	});
	return {...publication, services: Object.fromEntries(services)};
}
