/**
 * A target's report of itself in the headers of an answer, decoded the same way for every kind of
 * answer.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { HEADERS, MISDIRECTED_STATUS } from './wire.js';

/** The load that a target reports. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work there, as a multiple of the usual; 1 when it is not reported. */
  readonly slowdown: number;
}

/** The rate that a target accepts, as its answer states it. */
export type ReportedRate =
  | { readonly kind: 'silent' }
  /** `rate` is in requests a second, for all daemons together. */
  | { readonly kind: 'named'; readonly rate: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** Whether a target reports that it is draining. A target never withdraws this. */
export type ReportedDraining =
  { readonly kind: 'silent' | 'draining' } | { readonly kind: 'unreadable'; readonly text: string };

/** For how long a target that rejects a request wants no more requests from this daemon. */
export type ReportedBackoff =
  | { readonly kind: 'silent' }
  /** `time` is in milliseconds, from the answer on. */
  | { readonly kind: 'asked'; readonly time: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** Everything that the headers of one answer say about its target. */
export interface SelfReport {
  readonly load: LoadReport | undefined;
  /** How long the target is still cold, in milliseconds; undefined when it is not reported. */
  readonly coldLeft: number | undefined;
  readonly rate: ReportedRate;
  readonly draining: ReportedDraining;
  readonly backoff: ReportedBackoff;
  /** The incarnation that sent the answer; undefined when it is not reported. */
  readonly incarnation: string | undefined;
  /** Whether the target did not run the request. */
  readonly isRejected: boolean;
  /**
   * Whether another incarnation than the expected one answered. The rest of the report is then not
   * about the expected one.
   */
  readonly isMisdirected: boolean;
  /** Whether the target signed its answer. */
  readonly isSigned: boolean;
}

const NORMAL_PERCENT = 100;

/**
 * The slowdowns that a target can have. Beyond them a single report would displace the mean of all
 * targets for minutes.
 */
export const MIN_SLOWDOWN = 0.1;
export const MAX_SLOWDOWN = 100;

const UNAVAILABLE_STATUS = 503;

const MS_PER_SECOND = 1000;

/** A plain decimal number: no sign, no exponent, no other base. */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;

/** Longest text that is accepted as a rate or a time; further digits carry no information. */
const MAX_NUMBER_LENGTH = 20;

/** Reads a header; only the first value when Node keeps it as a list. */
export function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name.toLowerCase()];
  return Array.isArray(value) ? value[0] : value;
}

function isDecimal(text: string): boolean {
  return text.length <= MAX_NUMBER_LENGTH && DECIMAL.test(text);
}

function makeUnreadable(text: string): { readonly kind: 'unreadable'; readonly text: string } {
  return { kind: 'unreadable', text: text.slice(0, MAX_NUMBER_LENGTH) };
}

/**
 * Parses the load header: running, waiting, slots, and the slowdown in hundredths, which is moved
 * into its range.
 */
export function parseLoad(text: string | undefined): LoadReport | undefined {
  if (text === undefined) return undefined;
  const [running, waiting, slots, percent = NORMAL_PERCENT] = text.split(',').map(Number);
  if (![running, waiting, slots, percent].every((value) => Number.isFinite(value) && value >= 0)) {
    return undefined;
  }
  const slowdown = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, percent / NORMAL_PERCENT));
  return { running, waiting, slots, slowdown };
}

/**
 * Parses how long a target is still cold, in milliseconds; undefined when it is missing or invalid.
 */
export function parseColdLeft(text: string | undefined): number | undefined {
  const left = text === undefined || text === '' ? NaN : Number(text);
  return left >= 0 && Number.isFinite(left) ? left : undefined;
}

/**
 * Parses the rate that a target accepts. A header sent twice arrives as two numbers and is
 * unreadable.
 */
export function parseRate(text: string | undefined): ReportedRate {
  if (text === undefined) return { kind: 'silent' };
  return isDecimal(text) ? { kind: 'named', rate: Number(text) } : makeUnreadable(text);
}

/** Parses whether a target is draining. */
export function parseDraining(text: string | undefined): ReportedDraining {
  if (text === undefined) return { kind: 'silent' };
  return text === '1' ? { kind: 'draining' } : makeUnreadable(text);
}

/**
 * Parses the back-off that a target asks for, in seconds. A date is unreadable, because the clocks
 * of two machines differ.
 */
export function parseBackoff(text: string | undefined): ReportedBackoff {
  if (text === undefined) return { kind: 'silent' };
  return isDecimal(text)
    ? { kind: 'asked', time: Number(text) * MS_PER_SECOND }
    : makeUnreadable(text);
}

/** Decodes what the headers of an answer say about its target. */
export function decodeSelfReport(
  status: number | undefined,
  headers: IncomingHttpHeaders,
): SelfReport {
  const read = (name: string) => readHeader(headers, name);
  return {
    load: parseLoad(read(HEADERS.load)),
    coldLeft: parseColdLeft(read(HEADERS.coldLeft)),
    rate: parseRate(read(HEADERS.rate)),
    draining: parseDraining(read(HEADERS.draining)),
    backoff: parseBackoff(status === UNAVAILABLE_STATUS ? read(HEADERS.retryAfter) : undefined),
    incarnation: read(HEADERS.incarnation),
    isRejected: read(HEADERS.notRun) !== undefined,
    isMisdirected: status === MISDIRECTED_STATUS,
    isSigned: read(HEADERS.signature) !== undefined,
  };
}
