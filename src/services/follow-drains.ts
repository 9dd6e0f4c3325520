import {type Configuration} from '../config/configuration.js';
import {type ConfigService} from './config-service.js';
import {type Logger} from './logger.js';
import {type MembersService} from './members-service.js';
import {type StopService} from './stop-service.js';

type DrainFollowerOptions = {
	readonly logger: Logger;
	readonly members: MembersService;
	readonly config: ConfigService;
	readonly stop: StopService;
};

/** Marks this host as leaving while operators have drained it, its zone or its region, and clears that mark once the drain is lifted. */
export function followDrains({logger, members, config, stop}: DrainFollowerOptions): void {
	const {membership} = members;
	const {id, zone, region} = membership.self;
	config.onChange((cfg: Configuration) => {
		const isDrained = cfg.isDrained('host', id) || cfg.isDrained('zone', zone) || cfg.isDrained('region', region);
		if (!stop.isStopping && isDrained !== membership.isLeaving) {
			logger.info(isDrained ? 'host drained by operators; it is marked as leaving' : 'drain lifted by operators; the host is no longer leaving');
			members.run(membership.setLeaving(isDrained));
		}
	});
}
