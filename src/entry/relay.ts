/** Relays a call from the entry that received it to a home of its service. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { type Clock, parseAddress } from '../kernel/index.js';
import type { Member } from '../peer/index.js';
import {
  AnswerGate,
  type Attempt,
  type AttemptResult,
  type Body,
  CALLER_HEADERS,
  type Call,
  type CallEnd,
  RELAY_HEADER,
  buildTargetHeaders,
  createUnknown,
  sendContinue,
  startAttempt,
} from '../proxy/index.js';
import type { Clients } from './clients.js';

/** A call to relay, with its request and response. */
export interface RelayedCall {
  readonly call: Call;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborts when the caller goes away or the daemon ends the call. */
  readonly signal: AbortSignal;
}

/** Dependencies of {@link relayCall}. */
export interface RelayContext {
  readonly clients: Clients;
  readonly clock: Clock;
  /** Secret that proves to the home that an entry sent the call. */
  readonly secret: string;
}

const MAX_RELAY_CONNECTIONS = 256;

/** Extra wait after the deadline, at which the home ends the call and reports its outcome. */
const DEADLINE_GRACE_MS = 50;

function buildHeaders({ call, request }: RelayedCall, timeLeft: number, secret: string): string[] {
  const headers = buildTargetHeaders(request.rawHeaders, {
    ...{
      callId: call.id,
      timeLeft,
      callerAddress: call.callerAddress,
      isRetry: call.isRetry,
    },
    forwardedFor: request.headers['x-forwarded-for'] as string | undefined,
  });
  headers.push(RELAY_HEADER, secret);
  if (request.headers[CALLER_HEADERS.caller] === undefined) {
    headers.push(CALLER_HEADERS.caller, call.caller);
  }
  return headers;
}

async function waitForEnd(
  attempt: Attempt,
  { signal }: RelayedCall,
  { clock, limit }: { readonly clock: Clock; readonly limit: number },
): Promise<AttemptResult> {
  const abort = () => attempt.abort('ended');
  const timer = clock.schedule(limit, abort);
  signal.addEventListener('abort', abort, { once: true });
  const result = await attempt.done;
  timer.cancel();
  signal.removeEventListener('abort', abort);
  return result;
}

/**
 * Relays a call to a home. Returns `not-reached` when this entry may still serve it itself: nothing
 * was sent, or the call may be repeated and has no body.
 */
export async function relayCall(
  relayed: RelayedCall,
  home: Member,
  { clients, clock, secret }: RelayContext,
): Promise<CallEnd | 'not-reached'> {
  const address = parseAddress(home.relay);
  if (address === undefined) return 'not-reached';
  const { call, request, response, signal } = relayed;
  const deadline = call.receivedAt + call.timeAllowed;
  const body: Body = call.bodyLength === 0 ? { kind: 'none' } : { kind: 'stream', request };
  if (body.kind === 'stream') sendContinue(request, response);
  let sent = false;
  const attempt = startAttempt({
    ...{ client: clients.find(address, MAX_RELAY_CONNECTIONS), call, body, response },
    headers: buildHeaders(relayed, deadline - clock.now(), secret),
    ...{ gate: new AnswerGate(), keepsOutcomeHeader: true, isDiscarded: () => false },
    isBeforeDeadline: () => clock.now() < deadline,
    onSent: () => {
      sent = true;
    },
    onNotRun: () => undefined,
  });
  const limit = deadline - clock.now() + DEADLINE_GRACE_MS;
  const result = await waitForEnd(attempt, relayed, { clock, limit });
  if (result.kind === 'relayed') {
    return { kind: 'answered', status: result.status, target: home.relay };
  }
  if (result.kind === 'cut') return { kind: 'cut', target: home.relay, detail: result.detail };
  if (signal.aborted) return { kind: 'gone' };
  const mayRepeat = call.repeatable && body.kind === 'none' && clock.now() < deadline;
  if (!sent || mayRepeat) return 'not-reached';
  const reason = result.kind === 'cancelled' ? 'deadline' : 'connection-lost';
  const detail = 'the entry that had the call is silent';
  return { kind: 'told', outcome: createUnknown(reason, detail) };
}
