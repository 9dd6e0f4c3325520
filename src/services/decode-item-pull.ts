import {ItemPull} from '../contracts/item-pull.js';
import {deflatedItems} from './deflated-items.js';

/** Returns the response to a pull with its items, which a peer may have compressed. Throws if it is malformed. */
export function decodeItemPull(response: unknown): ItemPull {
	const {deflatedItems: data, ...pull} = ItemPull.parse(response);
	return data === undefined ? pull : {...pull, items: [...pull.items, ...deflatedItems.decode(data)]};
}
