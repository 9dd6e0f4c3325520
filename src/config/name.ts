import {z} from 'zod';

/** Name of a host, region, availability zone, service, class or instance. */
export const Name = z.string().regex(/^[a-z\d][a-z\d-]{0,62}$/, {error: 'expected 1 to 63 lower-case letters, digits or hyphens, beginning with a letter or digit'});
