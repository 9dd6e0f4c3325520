/** Statuses of errors of the HTTP parser, by code; of all others the status is 400. */
const statuses: Readonly<Record<string, number>> = {
	HPE_HEADER_OVERFLOW: 431, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const badRequest = 400;

/** Returns the status for bytes that the parser refused or that came too late, by its error code. */
export function statusOfParseError(code = ''): number {
	return statuses[code] ?? badRequest;
}
