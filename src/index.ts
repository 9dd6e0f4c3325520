/** Public interface of the package: the caller library, the outcome type, and the validation of operators' files. */
export {Caller} from './caller.js';
export {type Outcome} from './contracts/outcome.js';
export {type Result} from './result.js';
export {type Issue} from './config/issue.js';
export {DaemonSettings} from './config/daemon-settings.js';
export {ServiceFile} from './config/service-file.js';
export {DeploymentFile} from './config/deployment-file.js';
export {collectPublication} from './config/collect-publication.js';
export {parseToml} from './config/parse-toml.js';
