/** What a fingerprint identifies: a whole request, all requests whose long bodies begin alike, or those of them of which an instance had not received all. */
type Kind = 'whole' | 'beginning' | 'unfinished';

const marks = {whole: '', beginning: 'b.', unfinished: 'u.'} as const satisfies Record<Kind, string>;

function mark(kind: Kind, digest: string): string {
	return marks[kind] + digest;
}

function kindOf(fingerprint: string): Kind {
	if (fingerprint.startsWith(marks.beginning)) {
		return 'beginning';
	}

	return fingerprint.startsWith(marks.unfinished) ? 'unfinished' : 'whole';
}

/** Marks a digest as the fingerprint of one kind, and tells the kinds apart. */
export const fingerprintKinds = {mark, kindOf};
