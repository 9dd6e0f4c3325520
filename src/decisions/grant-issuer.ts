import {type Grant} from '../contracts/grant.js';

type GrantRequest = {
	/** Region that requests the grant. */
	readonly from: string;
	/** Number of requests that the region wants to send. */
	readonly want: number;
	/** Number of free slots in this region minus the number of queued requests. */
	readonly headroom: number;
	/** Maximum growth of the region's request rate, in requests per second, each second. */
	readonly shiftCapPerSecond: number;
	/** Bytes per second that this service may use of the link from the region. */
	readonly bytesPerSecond: number;
};

type SendingRegion = {
	/** Requests per second that the region may send now. */
	ratePerSecond: number;
	lastGrantRequestMs: number;
	/** Bytes of the link that are left for the region; negative after responses larger than expected. */
	bytes: number;
	/** Requests that were granted and have not arrived, by grant. */
	outstanding: Array<{requests: number; readonly untilMs: number}>;
};

/** Validity of a grant. */
const validMs = 500;
/** Time after the expiry of a grant until its requests no longer count as outstanding; a request sent before the expiry has arrived by then. */
const transitMarginMs = 500;
/** Time without a request for a grant after which a region's rate is reset to the initial rate. */
const rateResetMs = 2000;
/** Rate of a region at its first grant and after a reset, in requests per second. */
const initialRatePerSecond = 4;
/** Time over which unused bytes of the link accumulate. */
const byteBurstSeconds = 0.5;
/** Initial estimate of the size of a request together with its response. */
const initialBytesPerRequest = 2048;
const bytesPerRequestWeight = 0.05;

/**
 * Issues the grants of one service's owner to other regions. A region's rate starts low and grows no faster than the
 * shift cap. The outstanding requests of all regions never exceed the headroom at this owner, and the bytes stay within
 * the service's share of the link. A grant is issued only on request, so an owner that does not respond grants nothing.
 */
export class GrantIssuer {
	readonly #senders = new Map<string, SendingRegion>();
	#bytesPerRequest = initialBytesPerRequest;

	/** Returns the number of requests that were granted and may still arrive. */
	outstanding(nowMs: number): number {
		let total = 0;
		for (const sender of this.#senders.values()) {
			sender.outstanding = sender.outstanding.filter(item => item.untilMs > nowMs && item.requests > 0);
			total += sender.outstanding.reduce((sum, item) => sum + item.requests, 0);
		}

		return total;
	}

	/** Issues a grant to a region that requests one; it may be for 0 requests. */
	issue(req: GrantRequest, nowMs: number): Grant {
		const sender = this.#advance(req, nowMs);
		const outstanding = this.outstanding(nowMs);
		const room = Math.max(0, Math.floor(req.headroom - outstanding));
		const byRate = Math.floor((sender.ratePerSecond * validMs) / 1000) - sender.outstanding.reduce((sum, item) => sum + item.requests, 0);
		const byBytes = Math.floor(Math.max(0, sender.bytes) / this.#bytesPerRequest);
		const requests = Math.max(0, Math.min(req.want, room, byRate, byBytes));
		if (requests > 0) {
			sender.outstanding.push({requests, untilMs: nowMs + validMs + transitMarginMs});
			if (this.outstanding(nowMs) > req.headroom) {
				throw new Error(`grants of ${this.outstanding(nowMs)} requests exceed the headroom of ${req.headroom}`);
			}
		}

		return {requests, bytes: Math.floor(requests * this.#bytesPerRequest), validMs};
	}

	/** Records the arrival of a request that was sent under a grant. */
	recordArrival(from: string): void {
		const item = this.#senders.get(from)?.outstanding.find(entry => entry.requests > 0);
		if (item !== undefined) {
			item.requests--;
		}
	}

	/** Records the size of a request together with its response. */
	recordResponse(from: string, bytes: number): void {
		this.#bytesPerRequest += bytesPerRequestWeight * (bytes - this.#bytesPerRequest);
		const sender = this.#senders.get(from);
		if (sender !== undefined) {
			sender.bytes -= bytes;
		}
	}

	#advance(req: GrantRequest, nowMs: number): SendingRegion {
		const burst = req.bytesPerSecond * byteBurstSeconds;
		let sender = this.#senders.get(req.from);
		if (sender === undefined || nowMs - sender.lastGrantRequestMs > rateResetMs) {
			const rate = Math.min(initialRatePerSecond, req.shiftCapPerSecond);
			sender = {
				ratePerSecond: rate, lastGrantRequestMs: nowMs, bytes: burst, outstanding: sender?.outstanding ?? [],
			};
			this.#senders.set(req.from, sender);
			return sender;
		}

		const seconds = (nowMs - sender.lastGrantRequestMs) / 1000;
		sender.ratePerSecond += req.shiftCapPerSecond * seconds;
		sender.bytes = Math.min(burst, sender.bytes + (req.bytesPerSecond * seconds));
		sender.lastGrantRequestMs = nowMs;
		return sender;
	}
}
