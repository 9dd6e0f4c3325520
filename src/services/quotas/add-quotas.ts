import {type SteeringSettings} from '../../config/steering-settings.js';
import {type SteeringItemCodec} from '../../contracts/steering-item-codec.js';
import {QuotaShare} from '../../decisions/quota-share.js';
import {QuotaSlots} from '../../decisions/quota-slots.js';
import {type Kernel} from '../../kernel/kernel.js';
import {QuotaService} from './quota-service.js';
import {QuotaSlotService} from './quota-slot-service.js';

/** Number of parts into which the quotas of accounts are divided. A part of the smallest quota still holds a token; a lost host loses one part. */
const quotaSlots = 16;

/** Adds the services that keep accounts within their quotas. */
export function addQuotas(kernel: Kernel, {host, bounds}: SteeringSettings, itemCodec: SteeringItemCodec): void {
	kernel
		.add({name: 'quotaShare', requires: [], start: () => new QuotaShare({bounds, slots: quotaSlots})})
		.add({
			name: 'quotaSlots', requires: ['clock', 'logger', 'metrics', 'prefixStore', 'steering', 'replica', 'quotaShare'], start({get, lifecycle}) {
				const service = new QuotaSlotService({
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					store: get('prefixStore'),
					steering: get('steering'),
					replica: get('replica'),
					slots: new QuotaSlots({self: host.id, slots: quotaSlots, rateLoanMs: QuotaShare.rateLoanMs}),
					share: get('quotaShare'),
					keyOf: itemCodec.quotaSlotKey,
					value: itemCodec.encodeQuotaSlot(host.id),
				});
				service.start(lifecycle);
				return service;
			},
		})
		.add({
			name: 'quotas', requires: ['clock', 'logger', 'metrics', 'steering', 'peerClient', 'quotaShare'], start({get, lifecycle}) {
				const quotas = new QuotaService({
					clock: get('clock'), logger: get('logger'), metrics: get('metrics'), steering: get('steering'), peerClient: get('peerClient'), share: get('quotaShare'), host,
				});
				quotas.start(lifecycle);
				return quotas;
			},
		});
}
