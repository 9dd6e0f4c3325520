import {z} from 'zod';
import {parseIpv4} from '../decisions/parse-ipv4.js';
import {Name} from './name.js';

const Region = z.strictObject({name: Name, zones: z.array(Name).min(1).max(20)});

const Link = z.strictObject({
	/** Names of the two regions that the link connects. */
	between: z.tuple([Name, Name]),
	/** Bandwidth in each direction, in megabits per second. */
	mbitPerSecond: z.number().min(0.1).max(1_000_000),
	/** Share of the bandwidth that shifted requests and their responses may use. */
	workShare: z.number().min(0).max(1).default(0.8),
	/** Maximum increase of the rate of shifted requests within one second, in requests per second. */
	shiftCapPerSecond: z.number().min(0).max(1_000_000),
});

const Block = z.string().refine(text => {
	const [address = '', length = ''] = text.split('/');
	return parseIpv4(address) !== undefined && /^\d{1,2}$/.test(length) && Number(length) <= 32;
}, {error: 'expected an IPv4 block in CIDR notation, such as "10.1.0.0/16"'});

const Site = z.strictObject({
	name: Name,
	/** Preferred region of the site's clients. */
	region: Name,
	/** IPv4 blocks that contain the addresses of the site's clients. */
	blocks: z.array(Block).min(1).max(100_000),
});

/** Operators' file of the deployment: its regions, the links between them with their limits, and the sites of its clients. */
export const DeploymentFile = z.strictObject({
	deployment: z.strictObject({name: Name}),
	regions: z.array(Region).min(1).max(50),
	links: z.array(Link).default([]),
	sites: z.array(Site).max(65_000).default([]),
}).superRefine((file, ctx) => {
	const regionNames = new Set(file.regions.map(region => region.name));
	for (const [index, site] of file.sites.entries()) {
		if (!regionNames.has(site.region)) {
			ctx.addIssue({code: 'custom', path: ['sites', index, 'region'], message: `unknown region "${site.region}"; expected one of: ${[...regionNames].join(', ')}`});
		}
	}

	for (const [index, link] of file.links.entries()) {
		for (const [end, name] of link.between.entries()) {
			if (!regionNames.has(name)) {
				ctx.addIssue({code: 'custom', path: ['links', index, 'between', end], message: `unknown region "${name}"; expected one of: ${[...regionNames].join(', ')}`});
			}
		}
	}
});

/** Parsed operators' file of the deployment. */
export type DeploymentFile = Readonly<z.infer<typeof DeploymentFile>>;
