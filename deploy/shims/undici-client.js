// Only what the daemon uses of undici: the whole package costs a third of the start-up time.
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, api);

export {default as buildConnector} from 'undici/lib/core/connect.js';
export {default as Client} from 'undici/lib/dispatcher/client.js';
