import {type LiveInstance} from '../../src/contracts/live-instance.js';
import {type ListedHost} from '../../src/contracts/listed-host.js';
import {type RouteTable} from '../../src/contracts/route-table.js';
import {type SteeringItemCodec} from '../../src/contracts/steering-item-codec.js';

/** Codec of the model's store items: keys are `routes`, `instance/ID`, `host/ID` and `evacuation/ZONE`, values are JSON; there is one route table. */
export function modelItems(routes: RouteTable): SteeringItemCodec {
	return {
		parseKey(key) {
			const [kind, name = ''] = key.split('/');
			if (kind === 'instance' || kind === 'host') {
				return {kind, id: name};
			}

			if (kind === 'evacuation') {
				return {kind, zone: name};
			}

			return {kind: kind === 'routes' ? 'routes' : 'other'};
		},
		hostKey: id => `host/${id}`,
		decodeRoutes: () => ({success: true, data: routes}),
		decodeInstance: (_id, value) => ({success: true, data: JSON.parse(value) as LiveInstance}),
		decodeHost: value => ({success: true, data: JSON.parse(value) as ListedHost}),
		encodeHost: host => JSON.stringify(host),
		quotaSlotKey: slot => `slot/${slot}`,
		decodeQuotaSlot: value => ({success: true, data: value}),
		encodeQuotaSlot: host => host,
	};
}
