import {z} from 'zod';
import {DeploymentFile} from './deployment-file.js';
import {ServiceFile} from './service-file.js';

/** Content of one publication: the deployment, and the services by name. */
export const Publication = z.strictObject({
	deployment: DeploymentFile,
	services: z.record(z.string(), ServiceFile),
});

/** Parsed content of one publication. */
export type Publication = Readonly<z.infer<typeof Publication>>;
