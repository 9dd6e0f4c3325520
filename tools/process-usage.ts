import {readFileSync} from 'node:fs';

/** USER_HZ, the unit of processor times in /proc. */
const ticksPerSecond = 100;
const bytesPerPage = 4096;

/** Returns the processor time and the resident memory of a process. */
export function processUsage(pid: number): {readonly cpuMs: number; readonly rssMb: number} {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return {cpuMs: (ticks * 1000) / ticksPerSecond, rssMb: Math.round((Number(fields[21]) * bytesPerPage) / 1_048_576)};
}
