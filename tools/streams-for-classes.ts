import {type Publication} from '../src/config/publication.js';
import {type runLoad} from './load.js';

type Stream = Parameters<typeof runLoad>[0]['streams'][number];

/** Returns a load with one stream for each class of a deployment; `perSecond` returns the rate of a class from its priority. */
export function streamsForClasses(publication: Publication, perSecond: (priority: number) => number): Stream[] {
	return Object.values(publication.services).flatMap(file => file.classes.map(def => ({
		service: file.service.name,
		className: def.name,
		isRepeatable: def.repeatable,
		deadlineMs: def.deadlineMs,
		perSecond: perSecond(def.priority),
	})));
}
