import {z} from 'zod';
import {DeploymentFile} from './deployment-file.js';
import {ServiceFile} from './service-file.js';

/** Everything that one publication puts into force: the deployment and its services by name. */
export const Publication = z.strictObject({
	deployment: DeploymentFile,
	services: z.record(z.string(), ServiceFile),
});

/** A whole, checked configuration. */
export type Publication = Readonly<z.infer<typeof Publication>>;
