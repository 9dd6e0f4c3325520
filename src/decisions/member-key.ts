import {type Member} from '../contracts/member.js';

/** Returns the key of a process: its host id and boot id. */
export function memberKey(member: Pick<Member, 'id' | 'boot'>): string {
	return `${member.id}/${member.boot}`;
}
