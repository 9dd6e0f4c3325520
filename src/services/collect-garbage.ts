import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

let collect: (() => void) | undefined;

/** Collects all garbage of the process. Node.js has no interface for it but the engine's flag, which only takes effect in a context that is created afterwards. */
export function collectGarbage(): void {
	if (collect === undefined) {
		setFlagsFromString('--expose-gc');
		collect = runInNewContext('gc') as () => void;
	}

	collect();
}
