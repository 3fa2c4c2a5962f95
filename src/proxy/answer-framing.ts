/** How the end of an answer's body is marked (RFC 9112, section 6.3). */
import { type FlatHeaders, listPairs } from './headers.js';

/** What ends the body of an answer. */
export type AnswerFraming =
  /** There is no body. */
  | 'none'
  /** Its length is stated. */
  | 'length'
  /** Its last chunk. */
  | 'chunked'
  /** The connection's end, so that a body which is cut off looks like a whole one. */
  | 'close';

/** What decides the framing of an answer. */
export interface FramedHead {
  /** Of the request. */
  readonly method: string;
  readonly status: number;
  readonly rawHeaders: FlatHeaders;
}

const NO_BODY_STATUSES = new Set([204, 304]);

/** Finds what ends the body of an answer. */
export function findFraming({ method, status, rawHeaders }: FramedHead): AnswerFraming {
  if (method === 'HEAD' || NO_BODY_STATUSES.has(status)) return 'none';
  let framing: AnswerFraming = 'close';
  for (const [name] of listPairs(rawHeaders)) {
    const lower = name.toLowerCase();
    if (lower === 'transfer-encoding') return 'chunked';
    if (lower === 'content-length') framing = 'length';
  }
  return framing;
}
