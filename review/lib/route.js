/* eslint-disable camelcase -- the platform's names */
import {platformDocuments} from '../../dist/stand-ins/platform-documents.js';

/** Returns a route to a service, without affinity to objects. */
export function route({name, prefix, service, timeoutMs, targetMs, priority = 1, isRepeatable = true}) {
	return platformDocuments.route(name, prefix, {
		service, timeout_ms: timeoutMs, target_latency_ms: targetMs, priority, session_affinity: false, ...(isRepeatable ? {} : platformDocuments.nonRepeatable),
	});
}
