/** A received call: its properties, parsed from the request's head with safe defaults. */
import type { IncomingMessage } from 'node:http';
import { Either, Left, Right } from 'purify-ts';
import { type Random } from '../kernel/index.js';
import { hashPair } from '../balance/index.js';
import { type ClassConfig, DEFAULT_CLASS, type Service } from '../config/index.js';
import type { CallView } from '../policy/index.js';
import { CALLER_HEADERS, CALL_HEADER } from './headers.js';
import { type Outcome, createNotRun } from './outcome.js';

/** The properties of a call that decide how it is handled. */
export interface Call {
  readonly id: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly requestTarget: string;
  readonly path: string;
  readonly host: string;
  /** Name that the caller gave itself, else its IP address. */
  readonly caller: string;
  readonly callerAddress: string;
  readonly className: string;
  /** Whether the call may be run more than once. */
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  /** Time allowed, in milliseconds, from {@link receivedAt}. */
  readonly timeAllowed: number;
  readonly receivedAt: number;
  /** Declared length of the body in bytes; -1 when it is chunked, 0 without a body. */
  readonly bodyLength: number;
  /** Whether the caller made the call while serving a retry; then it is not retried here. */
  readonly isRetry: boolean;
}

const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);
const MAX_IDEMPOTENCY_KEY_LENGTH = 256;
const MAX_CALLER_LENGTH = 128;
const CALL_ID_PATTERN = /^[\w.-]{1,64}$/;
const HASH_RANGE = 2 ** 48;

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

function readRepeatable(request: IncomingMessage): boolean | undefined {
  const text = readHeader(request, CALLER_HEADERS.repeatable);
  if (text === undefined) return REPEATABLE_METHODS.has(request.method ?? '');
  if (text === 'yes') return true;
  return text === 'no' ? false : undefined;
}

function readBodyLength(request: IncomingMessage): number {
  if (request.headers['transfer-encoding'] !== undefined) return -1;
  return Number(request.headers['content-length'] ?? 0);
}

function readTimeAllowed(request: IncomingMessage, service: Service): number | undefined {
  const text = readHeader(request, CALLER_HEADERS.deadline);
  if (text === undefined) return service.deadline;
  if (!/^\d{1,9}$/.test(text) || Number(text) === 0) return undefined;
  return Math.min(Number(text), service.deadline_max);
}

/** Returns the id of a call: the one that the caller sent if it is well formed, else a new one. */
export function readCallId(request: IncomingMessage, random: Random): string {
  const given = readHeader(request, CALL_HEADER);
  return given !== undefined && CALL_ID_PATTERN.test(given) ? given : random.id();
}

function rejectHeader(header: string, expected: string): Either<Outcome, never> {
  return Left(createNotRun('bad-request', `header ${header}: expected ${expected}`));
}

/** Parses a call for a service. A malformed Orchidbeam header or idempotency key is rejected. */
export function readCall(
  request: IncomingMessage,
  { service, id, now }: { readonly service: Service; readonly id: string; readonly now: number },
): Either<Outcome, Call> {
  const repeatable = readRepeatable(request);
  if (repeatable === undefined) return rejectHeader(CALLER_HEADERS.repeatable, 'yes or no');
  const timeAllowed = readTimeAllowed(request, service);
  if (timeAllowed === undefined) {
    return rejectHeader(CALLER_HEADERS.deadline, 'milliseconds, a whole number from 1');
  }
  const className = readHeader(request, CALLER_HEADERS.class) ?? DEFAULT_CLASS;
  const idempotencyKey = readHeader(request, CALLER_HEADERS.idempotencyKey);
  if (
    idempotencyKey !== undefined &&
    (idempotencyKey === '' || idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH)
  ) {
    return rejectHeader(
      CALLER_HEADERS.idempotencyKey,
      `1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
    );
  }
  const requestTarget = request.url ?? '/';
  const callerAddress = request.socket.remoteAddress ?? 'unknown';
  const caller = (readHeader(request, CALLER_HEADERS.caller) ?? callerAddress).slice(
    0,
    MAX_CALLER_LENGTH,
  );
  return Right({
    id,
    method: request.method ?? 'GET',
    requestTarget,
    path: requestTarget.split('?', 1)[0] ?? requestTarget,
    host: request.headers.host ?? '',
    caller,
    callerAddress,
    className,
    repeatable,
    idempotencyKey,
    timeAllowed,
    receivedAt: now,
    bodyLength: readBodyLength(request),
    isRetry: request.headers[CALLER_HEADERS.retry] !== undefined,
  });
}

/** Finds a class of work by name; for an unknown name, the default class, else the last one. */
export function findClass(service: Service, name: string): ClassConfig {
  const { classes } = service;
  const match = classes.find((candidate) => candidate.name === name);
  const fallback = classes.find((candidate) => candidate.name === DEFAULT_CLASS);
  return match ?? fallback ?? (classes.at(-1) as ClassConfig);
}

/** Builds the view of a call that policies are evaluated on. */
export function createCallView(call: Call, request: IncomingMessage, now: number): CallView {
  const headers = new Map<string, string>();
  for (const [name, value] of Object.entries(request.headers)) {
    if (value !== undefined) headers.set(name, Array.isArray(value) ? value.join(', ') : value);
  }
  return {
    method: call.method,
    path: call.path,
    caller: call.caller,
    class: call.className,
    repeatable: call.repeatable,
    bytes: call.bodyLength,
    deadline: call.timeAllowed - (now - call.receivedAt),
    draw: hashPair('draw', call.caller) / HASH_RANGE,
    headers: Object.fromEntries(headers),
  };
}
