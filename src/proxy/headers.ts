/** Headers of calls and answers: Orchidbeam's own, hop-by-hop ones, and the forwarded ones. */
import { OUTCOME_HEADER } from './outcome.js';
import type { TargetReport, ReportedState } from '../balance/index.js';

/** Request headers that callers may send. */
export const CALLER_HEADERS = {
  /** Time left for the call, in milliseconds. */
  deadline: 'orchidbeam-deadline',
  /** Name of the class of work. */
  class: 'orchidbeam-class',
  /** Name of the caller, used for fairness and by policies. */
  caller: 'orchidbeam-caller',
  /** `yes` or `no`: whether the call may be repeated. */
  repeatable: 'orchidbeam-repeatable',
  /** Set on a retry, and by a caller on the calls it makes while serving one. */
  retry: 'orchidbeam-retry',
  idempotencyKey: 'idempotency-key',
} as const;

/** Carries the id of a call on every hop; targets may echo it in their answer. */
export const CALL_HEADER = 'orchidbeam-call';

/** A target's report about itself in an answer, such as `not-run; state=draining; in-flight=3`. */
export const REPORT_HEADER = 'orchidbeam-report';

/** Carries the shared secret of entries on relayed calls; accepted on the relay listener only. */
export const RELAY_HEADER = 'orchidbeam-relay';

const HOP_BY_HOP = new Set([
  ...['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection'],
  ...['te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'],
]);

const REMOVED_FROM_REQUESTS = new Set<string>([
  ...[CALL_HEADER, RELAY_HEADER, REPORT_HEADER, CALLER_HEADERS.deadline, OUTCOME_HEADER],
  ...['orchidbeam-retry', 'x-forwarded-for'],
]);

const REMOVED_FROM_ANSWERS = new Set<string>([REPORT_HEADER, OUTCOME_HEADER, CALL_HEADER]);

/** Headers as a flat list of alternating names and values. */
export type FlatHeaders = readonly string[];

/** Yields the name-value pairs of a flat list. */
export function* listPairs(flat: FlatHeaders): Generator<readonly [string, string]> {
  for (let index = 0; index + 1 < flat.length; index += 2) {
    yield [flat[index], flat[index + 1]];
  }
}

const NO_TOKENS: ReadonlySet<string> = new Set();

/**
 * Lists the names that `Connection` headers make hop-by-hop. Most messages name only headers that
 * are hop-by-hop anyway, and skip the parsing.
 */
function listConnectionTokens(flat: FlatHeaders): ReadonlySet<string> {
  const value = findHeader(flat, 'connection');
  if (value === undefined || HOP_BY_HOP.has(value.toLowerCase()) || value === 'close') {
    return NO_TOKENS;
  }
  const tokens = new Set<string>();
  for (const [name, tokenList] of listPairs(flat)) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const token of tokenList.split(',')) tokens.add(token.trim().toLowerCase());
  }
  return tokens;
}

function filterHeaders(flat: FlatHeaders, isDropped: (name: string) => boolean): string[] {
  const tokens = listConnectionTokens(flat);
  const kept: string[] = [];
  for (const [name, value] of listPairs(flat)) {
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || tokens.has(lower) || isDropped(lower)) continue;
    kept.push(name, value);
  }
  return kept;
}

/** Values of the headers that the entry adds to a call for a target. */
export interface TargetHeaderValues {
  readonly callId: string;
  /** Time left, in milliseconds. */
  readonly timeLeft: number;
  readonly callerAddress: string;
  readonly forwardedFor: string | undefined;
  readonly isRetry: boolean;
}

/**
 * Builds the headers of a call for a target: the entry's, and those forwarded from the caller. The
 * entry's go first, as servers may ignore headers beyond a number.
 */
export function buildTargetHeaders(flat: FlatHeaders, values: TargetHeaderValues): string[] {
  const headers: string[] = [CALL_HEADER, values.callId];
  headers.push(CALLER_HEADERS.deadline, String(Math.max(1, Math.floor(values.timeLeft))));
  const { forwardedFor, callerAddress } = values;
  headers.push(
    'x-forwarded-for',
    forwardedFor === undefined ? callerAddress : `${forwardedFor}, ${callerAddress}`,
  );
  if (values.isRetry) headers.push(CALLER_HEADERS.retry, '1');
  return [...headers, ...filterHeaders(flat, (name) => REMOVED_FROM_REQUESTS.has(name))];
}

/** Builds the headers of an answer; `keepsOutcomeHeader` lets the outcome header pass. */
export function buildCallerHeaders(
  flat: FlatHeaders,
  callId: string,
  keepsOutcomeHeader = false,
): string[] {
  const headers = filterHeaders(
    flat,
    (name) => REMOVED_FROM_ANSWERS.has(name) && !(keepsOutcomeHeader && name === OUTCOME_HEADER),
  );
  headers.push(CALL_HEADER, callId);
  return headers;
}

/** Finds the first value of a header; `wanted` is in lower case. */
export function findHeader(flat: FlatHeaders, wanted: string): string | undefined {
  for (const [name, value] of listPairs(flat)) {
    if (name.length === wanted.length && name.toLowerCase() === wanted) return value;
  }
  return undefined;
}

/** A parsed report header: the target's report, and whether it says that the call was not run. */
export interface ParsedReport {
  readonly notRun: boolean;
  readonly report: TargetReport;
}

const REPORTED_STATES: readonly ReportedState[] = ['ready', 'cold', 'draining'];
const NO_REPORT: ParsedReport = {
  notRun: false,
  report: { state: undefined, inFlight: undefined },
};

/** Parses a report header; unknown and malformed parts are ignored. */
export function parseReport(value: string | undefined): ParsedReport {
  if (value === undefined) return NO_REPORT;
  let notRun = false;
  let reportedState: ReportedState | undefined;
  let inFlight: number | undefined;
  for (const part of value.split(';')) {
    const [name = '', text = ''] = part.trim().split('=');
    if (name === 'not-run') notRun = true;
    if (name === 'state') reportedState = REPORTED_STATES.find((known) => known === text);
    if (name === 'in-flight' && /^\d{1,6}$/.test(text)) inFlight = Number(text);
  }
  return { notRun, report: { state: reportedState, inFlight } };
}
