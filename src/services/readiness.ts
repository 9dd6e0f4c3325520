import {type MembersService} from './members-service.js';
import {type SteeringService} from './steering-service.js';
import {type StopService} from './stop-service.js';

type ReadinessOptions = {
	readonly members: MembersService;
	readonly steering: SteeringService;
	readonly stop: StopService;
};

/** Decides whether this host accepts clients' requests: it has routes, its membership view is reliable, and it is not stopping. */
export class Readiness {
	readonly #options: ReadinessOptions;

	constructor(options: ReadinessOptions) {
		this.#options = options;
	}

	isReady(): boolean {
		const {members, steering, stop} = this.#options;
		return steering.routes !== undefined && members.isConfident() && !stop.isStopping;
	}

	/** Clears the leaving flag once the host is ready, so that lookups return it to clients. */
	clearLeavingWhenReady(): void {
		const {members, stop} = this.#options;
		if (members.membership.isLeaving && !stop.isStopping && this.isReady()) {
			members.run(members.membership.setLeaving(false));
		}
	}
}
