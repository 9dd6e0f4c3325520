import {readFileSync} from 'node:fs';
import {SourceMap} from 'node:module';

type ProfileNode = {
	readonly id: number;
	readonly callFrame: {readonly functionName: string; readonly url: string; readonly lineNumber: number; readonly columnNumber: number};
	readonly children?: readonly number[];
};
type Profile = {readonly nodes: readonly ProfileNode[]; readonly samples: readonly number[]; readonly timeDeltas: readonly number[]; readonly startTime: number};

type Steps = ReadonlyArray<readonly [name: string, pattern: RegExp]>;

/** Steps by the source file of the innermost frame of the project or one of its libraries. The first match counts. */
const steps: Steps = [
	['garbage collection', /^\(garbage collector\)$/],
	['placement', /src\/decisions\/(placement\.ts|rendezvous|reservation-order|instance-(table|queue|health|notices)|initial-|region-capacities|seeded-random|cold-rate)/],
	['connections to instances and peers', /(src\/adapters\/(connection-pool|pool-set|watch-for-failure|limit-bytes)|undici\/lib\/(core\/connect|util\/timers|dispatcher\/client\.js))/],
	['logging', /(src\/services\/(logger|request-log|bounded-output)|winston|logform|readable-stream)/],
	['reports, gossip and store', /src\/services\/(planner|members|peer|replica|steering-|gossip|store|status)/],
	['reports, gossip and store', /(src\/decisions\/(placement-plan|object-|member|item-replica|revision|region-)|@trpc|msgpack|zod|hono|platform\/kv-store|http-exchange)/],
	['metrics', /(src\/services\/metrics|hdr-histogram)/],
	['exchange with instances and peers', /(undici|src\/adapters\/)/],
	['requests and responses of clients', /(src\/services\/(ingress|read-request|disconnect|loop-turns)|request-pipeline)/],
	['handling of requests', /src\/|platform\//],
];

/** Steps by the innermost matching frame of Node.js where there is no frame of the project. */
const nodeSteps: Steps = [
	['requests and responses of clients', /node:(_http_server|_http_incoming|_http_outgoing|_http_common)/],
	['connections: events in Node.js', /node:net/],
	['timers', /node:internal\/timers/],
	['streams and other parts of Node.js', /node:/],
	['system calls and event loop', /^\(program\)$/],
];

/** Returns the processor time of a profile by step in milliseconds, for the samples from `fromMs` until `untilMs` after its start. */
export function profileSteps(file: string, sourceMapFile: string, fromMs: number, untilMs: number): Readonly<Record<string, number>> {
	const profile = JSON.parse(readFileSync(file, 'utf8')) as Profile;
	const sourceMap = new SourceMap(JSON.parse(readFileSync(sourceMapFile, 'utf8')) as ConstructorParameters<typeof SourceMap>[0]);
	const parents = new Map(profile.nodes.flatMap(node => (node.children ?? []).map(child => [child, node] as const)));
	const stepById = new Map<number, string>();
	for (const node of profile.nodes) {
		stepById.set(node.id, stepOf(node, parents, sourceMap));
	}

	const totals: Record<string, number> = {};
	let atMs = 0;
	for (const [index, id] of profile.samples.entries()) {
		const tookMs = profile.timeDeltas[index]! / 1000;
		atMs += tookMs;
		const step = stepById.get(id)!;
		if (atMs >= fromMs && atMs < untilMs && step !== 'idle') {
			totals[step] = (totals[step] ?? 0) + tookMs;
		}
	}

	return totals;
}

function stepOf(node: ProfileNode, parents: ReadonlyMap<number, ProfileNode>, sourceMap: SourceMap): string {
	if (node.callFrame.functionName === '(idle)') {
		return 'idle';
	}

	const sources: string[] = [];
	for (let frame: ProfileNode | undefined = node; frame !== undefined; frame = parents.get(frame.id)) {
		sources.push(sourceOf(frame, sourceMap));
	}

	return find(steps, sources) ?? find(nodeSteps, sources) ?? 'other';
}

function find(candidates: Steps, sources: readonly string[]): string | undefined {
	for (const source of sources) {
		const step = candidates.find(([, pattern]) => pattern.test(source));
		if (step !== undefined) {
			return step[0];
		}
	}

	return undefined;
}

function sourceOf({callFrame: {functionName, url, lineNumber, columnNumber}}: ProfileNode, sourceMap: SourceMap): string {
	if (!url.endsWith('.mjs')) {
		return url === '' ? functionName : url;
	}

	const entry = sourceMap.findEntry(lineNumber, columnNumber);
	return 'originalSource' in entry ? entry.originalSource : url;
}
