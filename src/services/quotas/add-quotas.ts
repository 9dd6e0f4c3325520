import {type SteeringSettings} from '../../config/steering-settings.js';
import {type SteeringItemCodec} from '../../contracts/steering-item-codec.js';
import {QuotaShare} from '../../decisions/quota-share.js';
import {quotaSlotCount} from '../../decisions/quota-slot-count.js';
import {QuotaSlots} from '../../decisions/quota-slots.js';
import {type Kernel} from '../../kernel/kernel.js';
import {QuotaService} from './quota-service.js';
import {QuotaSlotService} from './quota-slot-service.js';

/** Adds the services that keep accounts within their quotas. */
export function addQuotas(kernel: Kernel, {host, bounds}: SteeringSettings, itemCodec: SteeringItemCodec): void {
	const slotCount = quotaSlotCount(bounds);
	kernel
		.add({name: 'quotaShare', requires: [], start: () => new QuotaShare({bounds, slots: slotCount})})
		.add({
			name: 'quotaSlots', requires: ['clock', 'logger', 'metrics', 'prefixStore', 'steering', 'replica', 'quotaShare'], start({get, lifecycle}) {
				const service = new QuotaSlotService({
					clock: get('clock'),
					logger: get('logger'),
					metrics: get('metrics'),
					store: get('prefixStore'),
					steering: get('steering'),
					replica: get('replica'),
					slots: new QuotaSlots({self: host.id, slots: slotCount, rateLoanMs: QuotaShare.rateLoanMs}),
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
