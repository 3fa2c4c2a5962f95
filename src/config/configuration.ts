/** The configuration in force: an immutable value made from all accepted documents. */
import { Either, Left, Right } from 'purify-ts';
import type { Mistake } from '../settings/index.js';
import { type Operator, checkOperator } from './operator.js';
import { type Service, checkService } from './service.js';

/** Texts of documents by name, such as `service/ledger` or `operator/anna`. */
export type Documents = ReadonlyMap<string, string>;

/** A checked configuration at one revision. */
export interface Configuration {
  /** Grows by one with each accepted change; 0 is the empty configuration. */
  readonly revision: number;
  readonly services: readonly Service[];
  readonly operators: readonly Operator[];
}

/** The configuration before any change was accepted. */
export const EMPTY_CONFIGURATION: Configuration = { revision: 0, services: [], operators: [] };

/** A document's kind and own name. */
export interface DocumentName {
  readonly kind: 'service' | 'operator';
  readonly name: string;
}

const NAME = /^(service|operator)\/([a-z][a-z0-9-]{0,62})$/;

/** Splits `service/NAME` or `operator/NAME`; undefined for any other text. */
export function parseDocumentName(text: string): DocumentName | undefined {
  const match = NAME.exec(text);
  if (match === null) return undefined;
  const [, kind, name = ''] = match;
  return { kind: kind as DocumentName['kind'], name };
}

function findClashes(services: readonly Service[]): readonly Mistake[] {
  const seen = new Map<string, string>();
  const mistakes: Mistake[] = [];
  for (const service of services) {
    const hosts = service.hosts.length === 0 ? ['*'] : service.hosts;
    for (const host of hosts) {
      const route = `${host.toLowerCase()} ${service.path_prefix}`;
      const owner = seen.get(route);
      if (owner !== undefined) {
        const what = `host ${host} with prefix ${service.path_prefix} already leads to ${owner}`;
        const file = `service/${service.name}`;
        mistakes.push({ file, line: 0, what, expected: 'a route of its own' });
      }
      seen.set(route, service.name);
    }
  }
  return mistakes;
}

/** Checks all documents together; Left holds every mistake in them. */
export function checkConfiguration(
  revision: number,
  documents: Documents,
): Either<readonly Mistake[], Configuration> {
  const services: Service[] = [];
  const operators: Operator[] = [];
  const mistakes: Mistake[] = [];
  const fail = (more: readonly Mistake[]) => mistakes.push(...more);
  for (const [file, text] of documents) {
    const id = parseDocumentName(file);
    if (id === undefined) {
      const expected = 'service/NAME or operator/NAME, in lower case';
      mistakes.push({ file, line: 0, what: `document name "${file}"`, expected });
      continue;
    }
    if (id.kind === 'service') {
      checkService(file, id.name, text)
        .ifLeft(fail)
        .ifRight((service) => services.push(service));
    } else {
      checkOperator(file, id.name, text)
        .ifLeft(fail)
        .ifRight((operator) => operators.push(operator));
    }
  }
  mistakes.push(...findClashes(services));
  return mistakes.length > 0 ? Left(mistakes) : Right({ revision, services, operators });
}

/** Finds the service of a call: the longest path prefix among those whose host fits best. */
export function findService(
  configuration: Configuration,
  host: string,
  path: string,
): Service | undefined {
  const name = host.replace(/:\d+$/, '').toLowerCase();
  let best: Service | undefined;
  let bestRank = -1;
  for (const service of configuration.services) {
    const named = service.hosts.some((candidate) => candidate.toLowerCase() === name);
    if (!named && service.hosts.length > 0) continue;
    if (!matchPrefix(path, service.path_prefix)) continue;
    const rank = service.path_prefix.length * 2 + (named ? 1 : 0);
    if (rank <= bestRank) continue;
    best = service;
    bestRank = rank;
  }
  return best;
}

function matchPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}
