/** Outcomes reported to a caller in place of an answer: the call was not run, or may have run. */
import type { ServerResponse } from 'node:http';
import { closeAfterLongBody } from './unread-body.js';

/** Response header that carries the outcome. A response without it is the target's answer. */
export const OUTCOME_HEADER = 'orchidbeam-outcome';

/** Why a call was certainly not run. */
export type NotRunReason =
  | 'unknown-service'
  | 'policy'
  | 'no-target'
  | 'queue-full'
  | 'wait-too-long'
  | 'deadline'
  | 'cancelled'
  | 'stopping'
  | 'too-many-calls'
  | 'no-configuration'
  | 'configuration-not-current'
  | 'target-shed'
  | 'not-connected'
  | 'claim-unproven'
  | 'key-reused'
  | 'bad-request';

/** Why it is unknown whether a call ran. */
export type UnknownReason =
  'duplicate' | 'deadline' | 'connection-lost' | 'undelimited-answer' | 'wrong-answer' | 'stopping';

/** An outcome other than the target's answer. */
export type Outcome =
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      readonly detail: string;
      /** Milliseconds after which the same call may be retried; 0 when a retry would not help. */
      readonly retryAfter: number;
    }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason; readonly detail: string };

const NOT_RUN_STATUS: Readonly<Partial<Record<NotRunReason, number>>> = {
  'unknown-service': 404,
  policy: 429,
  'queue-full': 429,
  'key-reused': 422,
  'bad-request': 400,
};

const UNKNOWN_STATUS: Readonly<Record<UnknownReason, number>> = {
  duplicate: 409,
  deadline: 504,
  'connection-lost': 502,
  'undelimited-answer': 502,
  'wrong-answer': 502,
  stopping: 502,
};

const DEFAULT_NOT_RUN_STATUS = 503;

/** Creates a *not run* outcome. */
export function createNotRun(reason: NotRunReason, detail: string, retryAfter = 0): Outcome {
  return { kind: 'not-run', reason, detail, retryAfter };
}

/** Creates an *unknown* outcome. */
export function createUnknown(reason: UnknownReason, detail: string): Outcome {
  return { kind: 'unknown', reason, detail };
}

/** Returns the HTTP status of an outcome. */
export function getOutcomeStatus(outcome: Outcome): number {
  return outcome.kind === 'not-run'
    ? (NOT_RUN_STATUS[outcome.reason] ?? DEFAULT_NOT_RUN_STATUS)
    : UNKNOWN_STATUS[outcome.reason];
}

/** Writes an outcome as a problem document (RFC 9457) and ends the response. */
export function writeOutcome(response: ServerResponse, callId: string, outcome: Outcome): void {
  const status = getOutcomeStatus(outcome);
  const body = JSON.stringify({
    type: `urn:orchidbeam:${outcome.kind}:${outcome.reason}`,
    title: outcome.kind === 'not-run' ? 'The call was not run' : 'The outcome is unknown',
    status,
    detail: outcome.detail,
    outcome: outcome.kind,
    reason: outcome.reason,
    call: callId,
  });
  const headers: Record<string, string | number> = {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: outcome.kind,
    'orchidbeam-call': callId,
  };
  if (outcome.kind === 'not-run' && outcome.retryAfter > 0) {
    headers['retry-after'] = Math.max(1, Math.ceil(outcome.retryAfter / 1000));
    headers['orchidbeam-retry-after'] = Math.ceil(outcome.retryAfter);
  }
  closeAfterLongBody(response);
  response.writeHead(status, headers);
  response.end(body);
}
