/** Decodes the documents of operators and targets in the platform's store into typed values. */
import { type Address, type JsonObject, parseAddress } from '../kernel/index.js';
import {
  type RequestKind,
  type RequestLimits,
  type Route,
  RouteTable,
  type ServiceSpec,
  type Share,
} from '../routing/index.js';
import {
  DecodeError,
  type DecodeFault,
  describeSyntaxError,
  readList,
  readNumber,
  readObject,
  readText,
} from './document-reader.js';
import { checkConversion, pauseSlice, readOrganisations } from './organisations.js';
import { KEYS } from './wire.js';

export type { DecodeFault } from './document-reader.js';

/** The record that one run of a target keeps of itself. */
export interface TargetRecord {
  /**
   * Identifies this run of the target. Another run has another identifier, or the same one and
   * another `born`.
   */
  readonly incarnation: string;
  /** Start time in milliseconds since 1970 by the target's own clock; 0 when it is missing. */
  readonly born: number;
  readonly service: string;
  readonly address: Address;
  /** Failure domain in which it runs. */
  readonly domain: string;
  /** Number of calls that it runs at once. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Version of the target's software; undefined when it is missing. */
  readonly release?: string;
  /** How long the target is still slow after its start, in milliseconds. */
  readonly coldLeft: number;
}

const REQUEST_KINDS: ReadonlyMap<string, RequestKind> = new Map([
  ['safe', 'repeatable'],
  ['unsafe', 'once'],
  ['upload', 'upload'],
  // Answers are streamed to the caller beyond a buffer's length, whatever the kind.
  ['download', 'repeatable'],
]);

function readShares(action: JsonObject, rule: string): readonly Share[] {
  if (action.split === undefined) {
    return [{ service: readText(action.service, `${rule}: service`), weight: 1 }];
  }
  return readList(action.split, `${rule}: split`).map((part) => {
    const share = readObject(part, `${rule}: split`);
    return {
      service: readText(share.service, `${rule}: split service`),
      weight: readNumber(share.weight, `${rule}: split weight`),
    };
  });
}

/**
 * Reads the regions in which a route's requests may run. A wrong value adds a warning and is
 * ignored.
 */
function readRegions(
  value: unknown,
  name: string,
  warnings: string[],
): readonly string[] | undefined {
  if (value === undefined) return undefined;
  if (Array.isArray(value) && value.every((region) => typeof region === 'string')) return value;
  warnings.push(`${name}: allowed_regions; expected a list of regions`);
  return undefined;
}

/** Reads whether a route needs no key. A wrong value adds a warning, and the route needs one. */
function readPublic(value: unknown, name: string, warnings: string[]): boolean {
  if (value !== undefined && typeof value !== 'boolean') {
    warnings.push(`${name}: public; expected true or false`);
  }
  return value === true;
}

function readRoute(value: unknown, warnings: string[]): Route {
  const rule = readObject(value, 'rule');
  const name = readText(rule.name, 'rule name');
  const match = readObject(rule.match, `${name}: match`);
  const action = readObject(rule.action, `${name}: action`);
  const kind = REQUEST_KINDS.get(readText(rule.kind, `${name}: kind`));
  if (kind === undefined)
    throw new DecodeError(`${name}: kind`, [...REQUEST_KINDS.keys()].join(', '));
  const timeout = action.timeout_ms;
  return {
    ...{ name, kind, pathPrefix: readText(match.path_prefix, `${name}: path_prefix`) },
    targetLatency: readNumber(rule.target_latency_ms ?? Infinity, `${name}: target_latency_ms`),
    priority: readNumber(rule.priority ?? 0, `${name}: priority`),
    timeout: timeout === undefined ? Infinity : readNumber(timeout, `${name}: timeout_ms`),
    maxAttempts: readNumber(action.max_attempts ?? 1, `${name}: max_attempts`),
    shares: readShares(action, name),
    regions: readRegions(rule.allowed_regions ?? action.allowed_regions, name, warnings),
    isPublic: readPublic(rule.public, name, warnings),
  };
}

/**
 * Reads an optional number of a service. A wrong value adds a warning and doesn't reject the
 * configuration.
 */
function readOptionalNumber(value: unknown, what: string, warnings: string[]): number | undefined {
  if (value === undefined) return undefined;
  if (typeof value === 'number' && Number.isFinite(value) && value >= 0) return value;
  warnings.push(`${what}; expected a number from 0 on`);
  return undefined;
}

function readService(value: unknown, warnings: string[]): ServiceSpec {
  const cluster = readObject(value, 'cluster');
  const name = readText(cluster.name, 'cluster name');
  const read = (key: string) => readOptionalNumber(cluster[key], `${name}: ${key}`, warnings);
  return {
    name,
    coldRate: read('warmup_per_s') ?? Infinity,
    coldTime: (read('warmup_s') ?? 0) * MS_PER_SECOND,
    healthPath: typeof cluster.health_path === 'string' ? cluster.health_path : '',
    maxConnections: Number(cluster.max_connections ?? 0),
  };
}

const MS_PER_SECOND = 1000;

function readLimits(value: unknown): RequestLimits {
  const limits = readObject(value ?? {}, 'limits');
  const read = (key: string) => Number(limits[key] ?? Infinity) || Infinity;
  return {
    headerBytes: read('max_header_bytes'),
    bodyBytes: read('max_body_bytes'),
    headerTimeout: read('header_timeout_ms'),
    idleTimeout: read('idle_timeout_ms'),
  };
}

function createFault(error: unknown): DecodeFault {
  if (error instanceof DecodeError) {
    return { kind: 'fault', what: error.what, expected: error.expected };
  }
  return { kind: 'fault', what: describeSyntaxError(error), expected: 'JSON' };
}

function decode<T>(text: string, read: (value: JsonObject) => T): T | DecodeFault {
  try {
    return read(readObject(JSON.parse(text), 'document'));
  } catch (error) {
    return createFault(error);
  }
}

const TARGET_STATES: readonly TargetRecord['state'][] = ['ready', 'draining'];

function readState(value: unknown): TargetRecord['state'] {
  const state = TARGET_STATES.find((known) => known === value);
  if (state === undefined) throw new DecodeError('state', TARGET_STATES.join(', '));
  return state;
}

function readInteger(value: unknown, what: string, min: number): number {
  const number = readNumber(value, what);
  if (!Number.isSafeInteger(number) || number < min) {
    throw new DecodeError(what, `a whole number from ${min} on`);
  }
  return number;
}

/** Reads a configuration; yields between slices of the work. */
function* readConfiguration(document: JsonObject): Generator<undefined, RouteTable> {
  checkConversion(document);
  const warnings: string[] = [];
  const routes = new Map<string, readonly Route[]>();
  for (const value of readList(document.listeners, 'listeners')) {
    const listener = readObject(value, 'listener');
    const host = readText(listener.host, 'host').toLowerCase();
    const rules = readList(listener.rule_set, `${host}: rule_set`).map((rule) =>
      readRoute(rule, warnings),
    );
    routes.set(host, [...(routes.get(host) ?? []), ...rules]);
  }
  const version = readNumber(document.version, 'version');
  const services = readList(document.clusters, 'clusters').map((cluster) =>
    readService(cluster, warnings),
  );
  const limits = readLimits(document.limits);
  const organisations = yield* readOrganisations(document);
  return new RouteTable(version, routes, services, limits, warnings, organisations);
}

/** Decodes the operators' configuration. */
export function decodeConfiguration(text: string): RouteTable | DecodeFault {
  return decode(text, (document) => {
    const steps = readConfiguration(document);
    for (;;) {
      const step = steps.next();
      if (step.done === true) return step.value;
    }
  });
}

/**
 * Decodes the operators' configuration in slices, as many keys take longer than the event loop may
 * be blocked. Never rejects.
 */
export async function decodeInSlices(text: string): Promise<RouteTable | DecodeFault> {
  try {
    const steps = readConfiguration(readObject(JSON.parse(text), 'document'));
    for (;;) {
      await pauseSlice();
      const step = steps.next();
      if (step.done === true) return step.value;
    }
  } catch (error) {
    return createFault(error);
  }
}

/** Decodes the failure domain to evacuate from the key; the value under the key is ignored. */
export function decodeEvacuation(key: string): string | DecodeFault {
  const domain = key.slice(KEYS.evacuations.length);
  if (domain !== '') return domain;
  return {
    kind: 'fault',
    what: key,
    expected: `a failure domain's name after ${KEYS.evacuations}`,
  };
}

/** The longest record of a target, and the longest name in it, in characters. */
const MAX_RECORD_LENGTH = 65_536;
const MAX_NAME_LENGTH = 4096;

function checkLength(text: string, what: string, max: number): string {
  if (text.length <= max) return text;
  throw new DecodeError(`${what} of ${text.length} characters`, `at most ${max}`);
}

/** Reads one of the names in a target's record. */
function readName(value: unknown, what: string): string {
  return checkLength(readText(value, what), what, MAX_NAME_LENGTH);
}

/**
 * Decodes the record that a target keeps under its own key. The text may have been written by
 * anybody.
 */
export function decodeTarget(incarnation: string, text: string): TargetRecord | DecodeFault {
  const isTooLong = text.length > MAX_RECORD_LENGTH;
  return decode(isTooLong ? '{}' : text, (document) => {
    checkLength(text, 'record', MAX_RECORD_LENGTH);
    checkLength(incarnation, 'key', MAX_NAME_LENGTH);
    const info = readObject(document.info, 'info');
    const status = readObject(document.status, 'status');
    const address = parseAddress(readText(document.address, 'address'));
    if (address === undefined) throw new DecodeError('address', 'a.b.c.d:port');
    return {
      ...{ incarnation, address },
      service: readName(info.service, 'service'),
      domain: readName(info.zone, 'zone'),
      slots: readInteger(info.slots, 'slots', 1),
      state: readState(status.state),
      coldLeft: Math.max(0, readNumber(status.warmup_left_ms ?? 0, 'warmup_left_ms')),
      born: readInteger(document.born ?? 0, 'born', 0),
      release: typeof info.version === 'string' ? readName(info.version, 'version') : undefined,
    };
  });
}
