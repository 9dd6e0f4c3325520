/** Names of headers, fields, store keys, paths and environment variables that the platform defines. */
const names = [
	'x-affinity-key',
	'x-deadline-ms',
	'x-expected-instance',
	'x-response-signature',
	'x-not-executed',
	'x-server-load',
	'x-cold-ms',
	'server-leaving',
	'x-instance-id',
	'store-era',
	'route_type',
	'non_idempotent',
	'target_latency_ms',
	'traffic_split',
	'x-tenant-id',
	'tenants',
	'api_keys',
	'rate_per_s',
	'max_attempts',
	'session_affinity',
	'allowed_regions',
	'resource_kind',
	'cold_remaining_ms',
	'cold_per_s',
	'health_path',
	'has_more',
	'lease_id',
	'ttl_s',
	'retry_budget_ratio',
	'kv-key',
	'kv-range',
	'kv-watch',
	'kv-txn',
	'kv-lease',
	'kv-keep',
	'/-/',
	'op/config',
	'op/evacuate',
	'COWSLIPSPAR_BOOT',
	'cpu_share',
	'memory_mb',
	'max_fds',
	'link_mbps',
];
const pattern = new RegExp(names.map(name => name.replaceAll(/[-/]/g, String.raw`\$&`)).join('|'), 'i');

/** ESLint rule: names that the platform defines occur only in platform/. */
const rule = {
	meta: {type: 'problem', messages: {known: 'The name "{{name}}" is defined by the platform; translate it in platform/.'}, schema: []},
	create(ctx) {
		function check(node, text) {
			const found = pattern.exec(text);
			if (found !== null) {
				ctx.report({node, messageId: 'known', data: {name: found[0]}});
			}
		}

		return {
			Literal(node) {
				if (typeof node.value === 'string') {
					check(node, node.value);
				}
			},
			TemplateElement(node) {
				check(node, node.value.raw);
			},
			Identifier(node) {
				check(node, node.name);
			},
		};
	},
};

export default rule;
