import {type Member} from '../contracts/member.js';

/** Name of one process: its host and its life. */
export function memberKey(member: Pick<Member, 'id' | 'boot'>): string {
	return `${member.id}/${member.boot}`;
}
