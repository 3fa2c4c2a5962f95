/** What a target says of itself in the head of an answer: decoded once, and alike for every kind of answer. */
import type { IncomingHttpHeaders } from 'node:http';
import { HEADERS, MISDIRECTED_STATUS } from './wire.js';

/** What a target says of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there now, as a multiple of the usual; 1 where it is not told. */
  readonly slowdown: number;
}

/** What a target's answer says of the rate that it takes. */
export type ReportedRate =
  | { readonly kind: 'silent' }
  /** `rate` is in requests a second, of all daemons together. */
  | { readonly kind: 'named'; readonly rate: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** Whether a target's answer says that it is draining, which it never takes back. */
export type ReportedDraining =
  { readonly kind: 'silent' | 'draining' } | { readonly kind: 'unreadable'; readonly text: string };

/** For how long a target that rejects a request wants no more from this daemon. */
export type ReportedBackoff =
  | { readonly kind: 'silent' }
  /** `time` is in milliseconds from the answer on. */
  | { readonly kind: 'asked'; readonly time: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** All that the head of one answer says of the target that made it. */
export interface SelfReport {
  readonly load: LoadReport | undefined;
  /** For how long it is still cold, in milliseconds; undefined when it does not say. */
  readonly coldLeft: number | undefined;
  readonly rate: ReportedRate;
  readonly draining: ReportedDraining;
  readonly backoff: ReportedBackoff;
  /** The incarnation that names itself; undefined when none does. */
  readonly incarnation: string | undefined;
  /** Whether the target did not run the request. */
  readonly isRejected: boolean;
  /** Whether another incarnation than the expected one answered; what else it says is not about that one. */
  readonly isMisdirected: boolean;
  /** Whether the target signed its answer. */
  readonly isSigned: boolean;
}

const NORMAL_PERCENT = 100;

const UNAVAILABLE_STATUS = 503;

const MS_PER_SECOND = 1000;

/** A plain decimal number: no sign, no exponent, no other base. */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;

/** Digits beyond these say nothing of a rate or a time. */
const MAX_NUMBER_LENGTH = 20;

/** Reads a header; one that Node keeps as a list counts by its first value. */
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

/** Reads the load header: running, waiting, slots, and the slowdown in hundredths. */
export function parseLoad(text: string | undefined): LoadReport | undefined {
  if (text === undefined) return undefined;
  const [running, waiting, slots, percent = NORMAL_PERCENT] = text.split(',').map(Number);
  if (![running, waiting, slots, percent].every((value) => Number.isFinite(value) && value >= 0)) {
    return undefined;
  }
  return { running, waiting, slots, slowdown: percent / NORMAL_PERCENT };
}

/** Reads for how long a target says that it is still cold, in milliseconds; undefined when it says nothing. */
export function parseColdLeft(text: string | undefined): number | undefined {
  const left = text === undefined || text === '' ? NaN : Number(text);
  return left >= 0 && Number.isFinite(left) ? left : undefined;
}

/** Reads the rate that a target names; one that is named twice comes as two numbers and is unreadable. */
export function parseRate(text: string | undefined): ReportedRate {
  if (text === undefined) return { kind: 'silent' };
  return isDecimal(text) ? { kind: 'named', rate: Number(text) } : makeUnreadable(text);
}

/** Reads whether a target says that it is draining. */
export function parseDraining(text: string | undefined): ReportedDraining {
  if (text === undefined) return { kind: 'silent' };
  return text === '1' ? { kind: 'draining' } : makeUnreadable(text);
}

/** Reads for how many seconds a target asks to be left alone; a date names no time that two clocks agree on. */
export function parseBackoff(text: string | undefined): ReportedBackoff {
  if (text === undefined) return { kind: 'silent' };
  return isDecimal(text)
    ? { kind: 'asked', time: Number(text) * MS_PER_SECOND }
    : makeUnreadable(text);
}

/** Decodes what the head of an answer says of its target. */
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
