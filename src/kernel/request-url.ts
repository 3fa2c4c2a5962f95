/** The path and query of a request to one of the system's own listeners. */

/**
 * Parses the path and query; undefined when they are not a valid URL, which an HTTP parser may let
 * through.
 */
export function parseRequestUrl(path = '/'): URL | undefined {
  const base = 'http://listener';
  return URL.canParse(path, base) ? new URL(path, base) : undefined;
}
