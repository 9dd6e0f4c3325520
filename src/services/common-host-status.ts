import {type HostStatus} from '../contracts/host-status.js';
import {type MembersService} from './members-service.js';
import {type QuarantineService} from './quarantine-service.js';

type CommonStatus = Pick<HostStatus, 'id' | 'boot' | 'region' | 'zone' | 'callers' | 'aliveMembers' | 'isConfident' | 'quarantined'>;

/** Returns the status fields that both kinds of daemon report. */
export function commonHostStatus(members: MembersService, quarantine: QuarantineService): CommonStatus {
	const {
		id, boot, region, zone, callers,
	} = members.membership.self;
	return {
		id,
		boot,
		region,
		zone,
		callers,
		aliveMembers: members.membership.alive().length,
		isConfident: members.isConfident(),
		quarantined: quarantine.blocked().map(({fingerprint, service, instances}) => ({fingerprint, service, instances: [...instances]})),
	};
}
