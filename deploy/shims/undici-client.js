// Exports only the parts of undici that the daemon uses. Loading the whole package takes a third of the start-up time.
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, api);

export {default as buildConnector} from 'undici/lib/core/connect.js';
export {default as Client} from 'undici/lib/dispatcher/client.js';
