import {type MembersService} from './members-service.js';
import {type SteeringService} from './steering-service.js';
import {type StopService} from './stop-service.js';

type ReadinessOptions = {
	readonly members: MembersService;
	readonly steering: SteeringService;
	readonly stop: StopService;
};

/** Whether this host takes clients' requests: it has routes, its view of its peers holds, and it is not stopping. */
export class Readiness {
	readonly #options: ReadinessOptions;

	constructor(options: ReadinessOptions) {
		this.#options = options;
	}

	isReady(): boolean {
		const {members, steering, stop} = this.#options;
		return steering.routes !== undefined && members.isConfident() && !stop.isStopping;
	}

	/** Joins the hosts that clients are told of once there are routes. */
	announce(): void {
		const {members, stop} = this.#options;
		if (members.membership.isLeaving && !stop.isStopping && this.isReady()) {
			members.run(members.membership.setLeaving(false));
		}
	}
}
