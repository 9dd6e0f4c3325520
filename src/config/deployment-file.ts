import {z} from 'zod';
import {parseIpv4} from '../decisions/parse-ipv4.js';
import {Name} from './name.js';

const Region = z.strictObject({name: Name, zones: z.array(Name).min(1).max(20)});

const Link = z.strictObject({
	/** The two regions that the link joins. */
	between: z.tuple([Name, Name]),
	/** Bandwidth each way, in megabits a second. */
	mbitPerSecond: z.number().min(0.1).max(1_000_000),
	/** Share of the bandwidth that steered work may use. */
	workShare: z.number().min(0).max(1).default(0.8),
	/** Requests a second by which the work sent across may grow, each second. */
	shiftCapPerSecond: z.number().min(0).max(1_000_000),
});

const Block = z.string().refine(text => {
	const [address = '', length = ''] = text.split('/');
	return parseIpv4(address) !== undefined && /^\d{1,2}$/.test(length) && Number(length) <= 32;
}, {error: 'expected an IPv4 block, such as "10.1.0.0/16"'});

const Site = z.strictObject({
	name: Name,
	/** Region that serves the site's clients first. */
	region: Name,
	/** Addresses of the site's clients. */
	blocks: z.array(Block).min(1).max(100_000),
});

/** Operators' file of the deployment: its regions, and the links between them with their caps. */
export const DeploymentFile = z.strictObject({
	deployment: z.strictObject({name: Name}),
	regions: z.array(Region).min(1).max(50),
	links: z.array(Link).default([]),
	sites: z.array(Site).max(65_000).default([]),
}).superRefine((file, ctx) => {
	const names = new Set(file.regions.map(region => region.name));
	for (const [index, site] of file.sites.entries()) {
		if (!names.has(site.region)) {
			ctx.addIssue({code: 'custom', path: ['sites', index, 'region'], message: `no region is named "${site.region}"; known: ${[...names].join(', ')}`});
		}
	}

	for (const [index, link] of file.links.entries()) {
		for (const [end, name] of link.between.entries()) {
			if (!names.has(name)) {
				ctx.addIssue({code: 'custom', path: ['links', index, 'between', end], message: `no region is named "${name}"; known: ${[...names].join(', ')}`});
			}
		}
	}
});

/** Parsed operators' file of the deployment. */
export type DeploymentFile = Readonly<z.infer<typeof DeploymentFile>>;
