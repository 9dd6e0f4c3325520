import {type Publication} from '../src/config/publication.js';
import {type runLoad} from './load.js';

type Stream = Parameters<typeof runLoad>[0]['streams'][number];

/** A load over every class of a deployment; `perSecond` gives the rate of each class by its priority. */
export function streamsOf(publication: Publication, perSecond: (priority: number) => number): Stream[] {
	return Object.values(publication.services).flatMap(file => file.classes.map(def => ({
		service: file.service.name,
		className: def.name,
		isRepeatable: def.repeatable,
		deadlineMs: def.deadlineMs,
		perSecond: perSecond(def.priority),
	})));
}
