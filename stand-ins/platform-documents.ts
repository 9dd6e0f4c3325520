type RouteFields = Readonly<Record<string, unknown>>;

type RouteDocument = {readonly resource_kind: 'routes'; readonly metadata: {readonly name: string}; readonly spec: RouteFields};

type AccountDocument = {readonly resource_kind: 'tenants'; readonly metadata: {readonly name: string}; readonly spec: RouteFields};

const routeDefaults = {
	host: 'shop.example',
	route_type: 'safe',
	timeout_ms: 1000,
	target_latency_ms: 200,
	priority: 1,
	service: 'books',
	max_attempts: 2,
	session_affinity: true,
	allowed_regions: [],
};

/** Builds the values that operators and instances write to the platform's store. */
export const platformDocuments = {
	/** Returns a route for a path prefix; `fields` override the defaults. */
	route: (name: string, prefix: string, fields: RouteFields = {}): RouteDocument => ({
		resource_kind: 'routes', metadata: {name}, spec: {...routeDefaults, prefix, ...fields},
	}),

	/** Returns a client account with its keys. */
	account: (name: string, keys: readonly string[], fields: RouteFields = {}): AccountDocument => ({
		resource_kind: 'tenants', metadata: {name}, spec: {api_keys: keys, ...fields},
	}),

	/** Fields of a route whose requests may run at most once. */
	nonRepeatable: {route_type: 'non_idempotent'},

	/** Returns the fields of a route with a latency target. */
	withTarget: (targetMs: number) => ({target_latency_ms: targetMs}),

	/** Returns a configuration with its version, its routes and accounts, and the services that the routes refer to. */
	configuration: (version: number, routes: ReadonlyArray<RouteDocument | AccountDocument>, services: readonly string[] = [routeDefaults.service], limits: Readonly<Record<string, number>> = {}) => ({
		version,
		resources: [
			...routes,
			...services.map(name => ({
				resource_kind: 'services', metadata: {name}, spec: {
					health_path: '/healthz', max_connections: 100, cold_start_s: 3, cold_per_s: 5,
				},
			})),
			{
				resource_kind: 'limits', metadata: {}, spec: {
					max_header_bytes: 2000, max_body_bytes: 200_000, header_timeout_ms: 1000, idle_timeout_ms: 15_000, ...limits,
				},
			},
		],
	}),

	/** Returns the store entry of an instance. */
	instance: (address: string, {
		state = 'ready', zone = 'dsm-a', service = routeDefaults.service, sequence = 1, born = 1, coldMs = 0, slots = 3,
	}: {
		readonly state?: string; readonly zone?: string; readonly service?: string; readonly sequence?: number; readonly born?: number; readonly coldMs?: number;
		readonly slots?: number;
	} = {}) => ({
		address, born, info: {
			service, version: 'v1', zone, slots,
		}, status: {state, sequence, cold_remaining_ms: coldMs},
	}),
};
