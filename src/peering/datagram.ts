/**
 * Encodes the datagrams between daemons. The format is compact, as traffic between failure domains
 * is billed.
 */
import { decode, encode } from '@msgpack/msgpack';
import type { BlamedRequest } from '../balance/poison.js';
import { MAX_SLOWDOWN, MIN_SLOWDOWN } from '../platform/index.js';
import type { KnownRevisions, ViewPosition } from '../view/index.js';
import { type QuotaMessages, decodeQuotaMessages, encodeQuotaMessages } from './quota-datagram.js';
import { isPackedWhole } from './packed-size.js';
import { MAX_DOMAIN_LENGTH, type MemberState, type MemberStatus, type Presence } from './roster.js';

/** What a daemon reports of itself in each poll and each reply. */
export interface SelfStatus extends MemberStatus {
  readonly domain: string;
  readonly capacity: number;
  readonly isSenior: boolean;
}

/** What a daemon knows of the store and of other daemons, as sent in reply to a poll. */
export interface Knowledge {
  /** The revisions that its view has reached. */
  readonly position: ViewPosition;
  /**
   * Time since that view was last confirmed to be current, in milliseconds; Infinity when it never
   * was.
   */
  readonly proofAge: number;
  /**
   * The last read of the store that it knows of, by itself or another daemon; undefined when it
   * knows of none.
   */
  readonly lastRead: StoreRead | undefined;
  /** The revisions up to which it knows all changes. */
  readonly known: KnownRevisions;
  /** A hash of its set of members, which shows whether two daemons know different ones. */
  readonly membersFingerprint: number;
  /** The number of homes that it considers needed; only the first home's value is followed. */
  readonly desiredHomes: number;
  /** The states of the daemons that answered it directly of late. */
  readonly presences: readonly Presence[];
  /** Requests under which targets ended: recent ones, and those that are held out. */
  readonly poisonReports: readonly PoisonReport[];
}

/** What a daemon reports of a request under which targets ended. */
export interface PoisonReport extends BlamedRequest {
  /**
   * Time since the last of these targets ended, or since the request was answered, in milliseconds.
   */
  readonly age: number;
}

/** A read of the store. */
export interface StoreRead {
  /** The IP address of the daemon that read. */
  readonly reader: string;
  /** Time since the read, in milliseconds. */
  readonly age: number;
}

/** What one home reports of one target to other daemons. */
export interface TargetLoadReport {
  /** A number that represents the target's incarnation. */
  readonly target: number;
  /** The home's calls in flight to the target. */
  readonly inFlight: number;
  /** The target's slowdown as it last reported it to the home; undefined when it has not. */
  readonly slowdown: number | undefined;
  /** Time since that report, in milliseconds. */
  readonly age: number;
  /** The rate limit that the target reported to the home; undefined where there is no new one. */
  readonly advertisedRate?: AdvertisedRateReport;
}

/** The rate that a target accepts from all daemons together, as it reported it to one of them. */
export interface AdvertisedRateReport {
  /** Requests per second; undefined when the target no longer limits its rate. */
  readonly rate: number | undefined;
  /** Time since the target reported it, in milliseconds. */
  readonly age: number;
}

/** A target that has reported that it is draining. */
export interface DrainingReport {
  /** A number that represents the target's incarnation. */
  readonly target: number;
  /** Time since the target reported it, in milliseconds. */
  readonly age: number;
}

/** The limit of a target that reset a connection of this daemon because it was full. */
export interface FullReport {
  /** A number that represents the target's incarnation. */
  readonly target: number;
  /** Calls that it may have from all daemons. */
  readonly limit: number;
  /** Time since the reset, in milliseconds. */
  readonly age: number;
}

/**
 * A datagram: a poll ('ask'), the reply to it ('tell'), reports of the load of targets, of poison
 * requests, of draining targets or of full ones, or requests for tokens of quotas and grants of
 * them.
 */
export type Datagram =
  /** The sender polls `polledCount` daemons in all, itself included. */
  | { readonly kind: 'ask'; readonly self: SelfStatus; readonly polledCount: number }
  | { readonly kind: 'tell'; readonly self: SelfStatus; readonly knowledge: Knowledge }
  | { readonly kind: 'load'; readonly loadReports: readonly TargetLoadReport[] }
  | { readonly kind: 'cases'; readonly poisonReports: readonly PoisonReport[] }
  | { readonly kind: 'draining'; readonly targets: readonly DrainingReport[] }
  | { readonly kind: 'quota'; readonly messages: QuotaMessages }
  | { readonly kind: 'full'; readonly targets: readonly FullReport[] };

/** The states on the wire. */
const STATES = ['starting', 'ready', 'stopping'] as const;

type EncodedState = (typeof STATES)[number];

/**
 * Encodes a state. Builds that know no partitioned daemons take one for a daemon that does not
 * serve yet; the others find it in a field at the end, which earlier builds ignore.
 */
function encodeState(state: MemberState): number {
  const encoded: EncodedState = state === 'partitioned' ? 'starting' : state;
  return STATES.indexOf(encoded);
}

const POLL = 0;
const REPLY = 1;
const LOAD = 2;
const POISON = 3;
const DRAINING = 4;
const QUOTA = 5;
const FULL = 7;

/** Slowdowns are encoded in whole tenths, an unknown one as 0. */
const SLOWDOWN_STEPS = 10;

/** Utilisation is encoded in hundredths. */
const UTILISATION_STEPS = 100;

/** Encodes an age as whole milliseconds, an infinite one as nil. */
function encodeAge(age: number): number | null {
  return Number.isFinite(age) ? Math.max(0, Math.round(age)) : null;
}

function isAge(value: unknown): value is number | null {
  return value === null || typeof value === 'number';
}

/** Encodes an IPv4 address as one number, which takes a third of the bytes of its text. */
function encodeIp(ip: string): number {
  return ip.split('.').reduce((sum, part) => sum * 256 + Number(part), 0);
}

function decodeIp(number: number): string {
  return [24, 16, 8, 0].map((shift) => Math.floor(number / 2 ** shift) % 256).join('.');
}

/** The weighted number of pollers is encoded in hundredths. */
const POLLER_STEPS = 100;

function encodeSelf(self: SelfStatus): readonly unknown[] {
  const { domain, capacity, isSenior, state, utilisation, pollers } = self;
  return [
    ...[domain, capacity, encodeState(state), isSenior],
    ...[Math.round(utilisation * UTILISATION_STEPS), Math.round(pollers * POLLER_STEPS)],
  ];
}

function encodePresences(presences: readonly Presence[]): readonly number[] {
  return presences.flatMap(({ ip, state, age }) => [
    ...[encodeIp(ip), encodeState(state), Math.max(0, Math.round(age))],
  ]);
}

function encodePoisonReports(reports: readonly PoisonReport[]): readonly unknown[] {
  return reports.map(({ request, ended, releases, age }) => [
    ...[request, Math.max(0, Math.round(age)), ended, releases],
  ]);
}

/**
 * Few reports carry a rate limit, so the limits follow after all reports, each with the index of
 * its report.
 */
function encodeAdvertisedRates(reports: readonly TargetLoadReport[]): readonly unknown[] {
  const rates = reports.flatMap((report, index) =>
    report.advertisedRate === undefined
      ? []
      : [
          index,
          report.advertisedRate.rate ?? null,
          Math.max(0, Math.round(report.advertisedRate.age)),
        ],
  );
  return rates.length === 0 ? [] : [rates];
}

function isPartitioned({ state }: { readonly state: MemberState }): boolean {
  return state === 'partitioned';
}

/** Encodes which of the daemons are partitioned; nothing when none is. */
function encodePartitioned(self: SelfStatus, presences: readonly Presence[]): readonly unknown[] {
  const ips = presences.filter(isPartitioned).map(({ ip }) => encodeIp(ip));
  return isPartitioned(self) || ips.length > 0 ? [isPartitioned(self), ips] : [];
}

/** Encodes a datagram. */
export function encodeDatagram(datagram: Datagram): Uint8Array {
  switch (datagram.kind) {
    case 'ask':
      return encode([
        ...[POLL, ...encodeSelf(datagram.self), datagram.polledCount],
        ...(isPartitioned(datagram.self) ? [true] : []),
      ]);
    case 'tell': {
      const { position, proofAge, lastRead, known, membersFingerprint, desiredHomes } =
        datagram.knowledge;
      const presences = datagram.knowledge.presences.slice(0, MAX_PRESENCES);
      return encode([
        ...[REPLY, ...encodeSelf(datagram.self), position.targets, position.configuration],
        ...[encodeAge(proofAge), known.targets, membersFingerprint, desiredHomes],
        ...[lastRead === undefined ? null : [encodeIp(lastRead.reader), encodeAge(lastRead.age)]],
        encodePresences(presences),
        encodePoisonReports(datagram.knowledge.poisonReports),
        ...[position.evacuations, known.operators],
        ...encodePartitioned(datagram.self, presences),
      ]);
    }
    case 'load':
      return encode([
        LOAD,
        ...datagram.loadReports.flatMap(({ target, inFlight, slowdown, age }) => [
          ...[target, inFlight, Math.round((slowdown ?? 0) * SLOWDOWN_STEPS), Math.round(age)],
        ]),
        ...encodeAdvertisedRates(datagram.loadReports),
      ]);
    case 'cases':
      return encode([POISON, ...encodePoisonReports(datagram.poisonReports)]);
    case 'draining': {
      const fields = datagram.targets.flatMap(({ target, age }) => [target, Math.round(age)]);
      return encode([DRAINING, ...fields]);
    }
    case 'quota':
      return encode([QUOTA, ...encodeQuotaMessages(datagram.messages)]);
    case 'full':
      return encode([
        FULL,
        ...datagram.targets.flatMap(({ target, limit, age }) => [target, limit, Math.round(age)]),
      ]);
    default:
      return datagram satisfies never;
  }
}

function isNumbers(values: readonly unknown[]): values is readonly number[] {
  return values.every((value) => typeof value === 'number');
}

function decodeSelf(fields: readonly unknown[]): SelfStatus | undefined {
  const [domain, capacity, state, isSenior, utilisation, pollers] = fields;
  const decodedState = STATES[Number(state)];
  if (typeof domain !== 'string' || typeof capacity !== 'number' || decodedState === undefined) {
    return undefined;
  }
  if (domain.length > MAX_DOMAIN_LENGTH) return undefined;
  if (typeof utilisation !== 'number' || typeof pollers !== 'number') return undefined;
  return {
    ...{ domain, capacity, isSenior: isSenior === true, state: decodedState },
    ...{ utilisation: utilisation / UTILISATION_STEPS, pollers: pollers / POLLER_STEPS },
  };
}

const SELF_LENGTH = 6;
const PRESENCE_LENGTH = 3;

/**
 * The most presences in one reply, which keeps it below the size at which networks fragment
 * datagrams.
 */
const MAX_PRESENCES = 64;

/** Decodes a read of the store; undefined when it is invalid, null when there is none. */
function decodeStoreRead(value: unknown): StoreRead | null | undefined {
  if (value === null) return null;
  if (!Array.isArray(value) || !isNumbers(value) || value.length !== 2) return undefined;
  const [reader = 0, age = 0] = value;
  return { reader: decodeIp(reader), age };
}

function decodePresences(value: unknown): readonly Presence[] | undefined {
  if (!Array.isArray(value) || !isNumbers(value)) return undefined;
  if (value.length % PRESENCE_LENGTH !== 0) return undefined;
  const presences: Presence[] = [];
  for (let at = 0; at < value.length; at += PRESENCE_LENGTH) {
    const [ip, index, age] = value.slice(at, at + PRESENCE_LENGTH);
    const state = STATES[index];
    if (state === undefined) return undefined;
    presences.push({ ip: decodeIp(ip), state, age: Math.max(0, age) });
  }
  return presences;
}

function applyPartitioned<T extends { readonly state: MemberState }>(member: T): T {
  return { ...member, state: 'partitioned' };
}

function isStrings(values: readonly unknown[]): values is readonly string[] {
  return values.every((value) => typeof value === 'string');
}

/** Decodes poison reports; undefined when one is invalid. */
function decodePoisonReports(values: unknown): readonly PoisonReport[] | undefined {
  if (!Array.isArray(values)) return undefined;
  const reports: PoisonReport[] = [];
  for (const value of values as readonly unknown[]) {
    if (!Array.isArray(value)) return undefined;
    const [request, age, ended, releases] = value as readonly unknown[];
    if (typeof request !== 'string' || typeof age !== 'number' || !(age >= 0)) return undefined;
    if (!Array.isArray(ended) || !isNumbers(ended)) return undefined;
    if (!Array.isArray(releases) || !isStrings(releases)) return undefined;
    reports.push({ request, age, ended, releases });
  }
  return reports;
}

const LOAD_REPORT_LENGTH = 4;

function decodeReply(fields: readonly unknown[]): Datagram | undefined {
  const self = decodeSelf(fields);
  const [targets, configuration, proofAge, ...rest] = fields.slice(SELF_LENGTH);
  const [
    knownTargets,
    membersFingerprint,
    desiredHomes,
    encodedRead,
    encodedPresences,
    encodedReports,
  ] = rest;
  const [evacuations, knownOperators, isSelfPartitioned, partitioned = []] = rest.slice(6);
  const numbers = [
    ...[targets, configuration, knownTargets, membersFingerprint, desiredHomes],
    ...[evacuations, knownOperators],
  ];
  if (self === undefined || !isNumbers(numbers) || !isAge(proofAge)) return undefined;
  const lastRead = decodeStoreRead(encodedRead);
  const presences = decodePresences(encodedPresences);
  const poisonReports = decodePoisonReports(encodedReports);
  if (lastRead === undefined || presences === undefined || poisonReports === undefined)
    return undefined;
  if (!Array.isArray(partitioned) || !isNumbers(partitioned)) return undefined;
  const partitionedIps = new Set(partitioned.map(decodeIp));
  return {
    ...{ kind: 'tell', self: isSelfPartitioned === true ? applyPartitioned(self) : self },
    knowledge: {
      position: { targets: numbers[0], configuration: numbers[1], evacuations: numbers[5] },
      ...{
        proofAge: proofAge ?? Infinity,
        lastRead: lastRead ?? undefined,
        presences: presences.map((presence) =>
          partitionedIps.has(presence.ip) ? applyPartitioned(presence) : presence,
        ),
        poisonReports,
      },
      known: { targets: numbers[2], operators: numbers[6] },
      ...{ membersFingerprint: numbers[3], desiredHomes: numbers[4] },
    },
  };
}

const ADVERTISED_RATE_LENGTH = 3;

/** Decodes rate limits by the index of their load report; undefined when one is invalid. */
function decodeAdvertisedRates(
  fields: readonly unknown[],
): ReadonlyMap<number, AdvertisedRateReport> | undefined {
  const rates = new Map<number, AdvertisedRateReport>();
  if (fields.length % ADVERTISED_RATE_LENGTH !== 0) return undefined;
  for (let at = 0; at < fields.length; at += ADVERTISED_RATE_LENGTH) {
    const [index, rate, age] = fields.slice(at, at + ADVERTISED_RATE_LENGTH);
    if (typeof index !== 'number' || typeof age !== 'number' || !(age >= 0)) return undefined;
    if (rate !== null && (typeof rate !== 'number' || !(rate >= 0))) return undefined;
    rates.set(index, { rate: rate ?? undefined, age });
  }
  return rates;
}

/** Decodes a slowdown; undefined when none was sent, or one that no target has. */
function decodeSlowdown(steps: number): number | undefined {
  const slowdown = steps / SLOWDOWN_STEPS;
  return slowdown >= MIN_SLOWDOWN && slowdown <= MAX_SLOWDOWN ? slowdown : undefined;
}

function decodeLoad(fields: readonly unknown[]): Datagram | undefined {
  const last = fields.at(-1);
  const numbers = Array.isArray(last) ? fields.slice(0, -1) : fields;
  const rates = decodeAdvertisedRates(Array.isArray(last) ? last : []);
  if (numbers.length % LOAD_REPORT_LENGTH !== 0 || !isNumbers(numbers)) return undefined;
  if (rates === undefined) return undefined;
  const loadReports: TargetLoadReport[] = [];
  for (let at = 0; at < numbers.length; at += LOAD_REPORT_LENGTH) {
    const [target, inFlight, steps, age] = numbers.slice(at, at + LOAD_REPORT_LENGTH);
    const rate = rates.get(loadReports.length);
    loadReports.push({
      ...{ target, inFlight, slowdown: decodeSlowdown(steps) },
      age: Math.max(0, age),
      ...(rate && { advertisedRate: rate }),
    });
  }
  return { kind: 'load', loadReports };
}

function decodeDraining(fields: readonly unknown[]): Datagram | undefined {
  if (!isNumbers(fields) || fields.length % 2 !== 0) return undefined;
  const targets: DrainingReport[] = [];
  for (let at = 0; at < fields.length; at += 2) {
    const [target, age] = fields.slice(at, at + 2);
    if (!(age >= 0)) return undefined;
    targets.push({ target, age });
  }
  return { kind: 'draining', targets };
}

const FULL_REPORT_LENGTH = 3;

function decodeFull(fields: readonly unknown[]): Datagram | undefined {
  if (!isNumbers(fields) || fields.length % FULL_REPORT_LENGTH !== 0) return undefined;
  const targets: FullReport[] = [];
  for (let at = 0; at < fields.length; at += FULL_REPORT_LENGTH) {
    const [target, limit, age] = fields.slice(at, at + FULL_REPORT_LENGTH);
    if (!(limit >= 1) || !(age >= 0)) return undefined;
    targets.push({ target, limit, age });
  }
  return { kind: 'full', targets };
}

/** Decodes a datagram; undefined when the bytes are not a valid one. */
export function decodeDatagram(bytes: Uint8Array): Datagram | undefined {
  if (!isPackedWhole(bytes)) return undefined;
  let value: unknown;
  try {
    value = decode(bytes);
  } catch {
    return undefined;
  }
  if (!Array.isArray(value)) return undefined;
  const [kind, ...fields] = value as readonly unknown[];
  switch (kind) {
    case POLL: {
      const self = decodeSelf(fields);
      const [polledCount, isSelfPartitioned] = fields.slice(SELF_LENGTH);
      if (self === undefined || typeof polledCount !== 'number' || !(polledCount >= 1))
        return undefined;
      return {
        kind: 'ask',
        self: isSelfPartitioned === true ? applyPartitioned(self) : self,
        polledCount,
      };
    }
    case REPLY:
      return decodeReply(fields);
    case LOAD:
      return decodeLoad(fields);
    case POISON: {
      const poisonReports = decodePoisonReports(fields);
      return poisonReports && { kind: 'cases', poisonReports };
    }
    case DRAINING:
      return decodeDraining(fields);
    case QUOTA: {
      const messages = decodeQuotaMessages(fields);
      return messages && { kind: 'quota', messages };
    }
    case FULL:
      return decodeFull(fields);
    default:
      return undefined;
  }
}
