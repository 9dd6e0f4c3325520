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

/** A host that operators drained, or whose zone or region they did, leaves as for a stop, and comes back when they undo it. */
export function followDrains({logger, members, config, stop}: DrainFollowerOptions): void {
	const {membership} = members;
	const {id, zone, region} = membership.self;
	config.onChange((cfg: Configuration) => {
		const isDrained = cfg.isDrained('host', id) || cfg.isDrained('zone', zone) || cfg.isDrained('region', region);
		if (!stop.isStopping && isDrained !== membership.isLeaving) {
			logger.info(isDrained ? 'drained by operators' : 'brought back by operators');
			members.run(membership.setLeaving(isDrained));
		}
	});
}
