/** The path and query of a request to one of the system's own listeners. */

/** Reads them; undefined when they make no URL, which not all do that a parser of requests lets through. */
export function parseRequestUrl(path = '/'): URL | undefined {
  const base = 'http://listener';
  return URL.canParse(path, base) ? new URL(path, base) : undefined;
}
