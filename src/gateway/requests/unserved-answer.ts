/** Ends requests without a target's answer. */
import type { ServerResponse } from 'node:http';
import { type LocalAnswer, writeLocalAnswer } from './answers.js';
import type { RefusalBasis, RequestLog } from './request-log.js';

/** An answer to a request that has not run, or may have run without an answer. */
export type UnservedAnswer = Extract<LocalAnswer, { readonly kind: 'not-run' | 'unknown' }>;

/** Where the answer goes, and where it is counted and logged. */
export interface UnservedRequest {
  readonly id: string;
  readonly response: ServerResponse;
  readonly log: RequestLog;
  readonly counts: { notRun: number; unknown: number };
}

/**
 * Counts, logs and writes the answer.
 *
 * @param basis the figures behind a refusal
 */
export function sendUnservedAnswer(
  { id, response, log, counts }: UnservedRequest,
  answer: UnservedAnswer,
  basis?: RefusalBasis,
): void {
  if (answer.kind === 'not-run') counts.notRun += 1;
  else counts.unknown += 1;
  log.logLocalAnswer(answer, basis);
  writeLocalAnswer(response, id, answer);
}
