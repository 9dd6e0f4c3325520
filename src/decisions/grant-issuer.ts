import {type Grant} from '../contracts/grant.js';

type GrantRequest = {
	/** Region that asks. */
	readonly from: string;
	/** Requests that it would send. */
	readonly want: number;
	/** Slots free here, less the requests that wait for them. */
	readonly headroom: number;
	/** Requests a second by which the work from that region may grow, each second. */
	readonly shiftCapPerSecond: number;
	/** Bytes a second that this service may take of the link from that region. */
	readonly bytesPerSecond: number;
};

type Sender = {
	/** Requests a second that the region may send now. */
	ratePerSecond: number;
	lastAskMs: number;
	/** Bytes that the link still has for the region; negative after answers larger than expected. */
	bytes: number;
	/** Requests and bytes granted that have not arrived. */
	outstanding: Array<{requests: number; readonly untilMs: number}>;
};

/** Time for which a grant holds, in milliseconds. */
const validMs = 500;
/** Time after its end at which a grant counts as unused: what was sent in time has arrived by then, in milliseconds. */
const travelMs = 500;
/** Time without asking after which a region starts small again, in milliseconds. */
const restartMs = 2000;
/** First rate of a region, in requests a second. */
const firstRate = 4;
/** Time over which unused bytes may be saved up, in seconds. */
const byteBurstSeconds = 0.5;
/** First guess of the bytes that a request and its answer take. */
const initialBytes = 2048;
const byteWeight = 0.05;

/**
 * Grants of one service's owner to other regions. A region's rate starts small and grows no faster than the shift
 * cap; what is outstanding never exceeds the headroom measured here; the bytes stay within the service's part of
 * the link. Nothing is granted unasked, so a silent owner grants nothing.
 */
export class GrantIssuer {
	readonly #senders = new Map<string, Sender>();
	#bytesPerRequest = initialBytes;

	/** Requests granted that have not arrived. */
	outstanding(nowMs: number): number {
		let total = 0;
		for (const sender of this.#senders.values()) {
			sender.outstanding = sender.outstanding.filter(item => item.untilMs > nowMs && item.requests > 0);
			total += sender.outstanding.reduce((sum, item) => sum + item.requests, 0);
		}

		return total;
	}

	/** Decides on a region's wish. */
	issue(req: GrantRequest, nowMs: number): Grant {
		const sender = this.#advance(req, nowMs);
		const outstanding = this.outstanding(nowMs);
		const room = Math.max(0, Math.floor(req.headroom - outstanding));
		const byRate = Math.floor((sender.ratePerSecond * validMs) / 1000) - sender.outstanding.reduce((sum, item) => sum + item.requests, 0);
		const byBytes = Math.floor(Math.max(0, sender.bytes) / this.#bytesPerRequest);
		const requests = Math.max(0, Math.min(req.want, room, byRate, byBytes));
		if (requests > 0) {
			sender.outstanding.push({requests, untilMs: nowMs + validMs + travelMs});
			if (this.outstanding(nowMs) > req.headroom) {
				throw new Error(`grants of ${this.outstanding(nowMs)} requests exceed the headroom of ${req.headroom}`);
			}
		}

		return {requests, bytes: Math.floor(requests * this.#bytesPerRequest), validMs};
	}

	/** Counts a request that arrived under a grant. */
	arrived(from: string): void {
		const item = this.#senders.get(from)?.outstanding.find(entry => entry.requests > 0);
		if (item !== undefined) {
			item.requests--;
		}
	}

	/** Counts the bytes of a request and its answer. */
	answered(from: string, bytes: number): void {
		this.#bytesPerRequest += byteWeight * (bytes - this.#bytesPerRequest);
		const sender = this.#senders.get(from);
		if (sender !== undefined) {
			sender.bytes -= bytes;
		}
	}

	#advance(req: GrantRequest, nowMs: number): Sender {
		const burst = req.bytesPerSecond * byteBurstSeconds;
		let sender = this.#senders.get(req.from);
		if (sender === undefined || nowMs - sender.lastAskMs > restartMs) {
			const rate = Math.min(firstRate, req.shiftCapPerSecond);
			sender = {
				ratePerSecond: rate, lastAskMs: nowMs, bytes: burst, outstanding: sender?.outstanding ?? [],
			};
			this.#senders.set(req.from, sender);
			return sender;
		}

		const seconds = (nowMs - sender.lastAskMs) / 1000;
		sender.ratePerSecond += req.shiftCapPerSecond * seconds;
		sender.bytes = Math.min(burst, sender.bytes + (req.bytesPerSecond * seconds));
		sender.lastAskMs = nowMs;
		return sender;
	}
}
