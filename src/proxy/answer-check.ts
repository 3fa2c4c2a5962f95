/**
 * Validates the head of an answer before anything else reads it.
 *
 * Node's client accepts heads that Node's server refuses to write, and framing that it can't
 * decode. Bytes that fail this check are no answer: nothing in them is used or forwarded.
 */
import type { IncomingMessage } from 'node:http';
import { type FlatHeaders, listPairs } from './headers.js';
import { TOKEN_PATTERN } from './head-check.js';

const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const STATUS_DIGITS = 3;
const HTTP_1 = 1;

/** Everything but control characters, which a header can't contain. */
const VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;

/** The head of an answer, as a client of HTTP has parsed it. */
export interface AnswerHead {
  readonly status: number;
  /** The major version of HTTP; undefined where the client does not report it. */
  readonly majorVersion?: number;
  readonly rawHeaders: FlatHeaders;
}

/** Returns what is wrong with the head of an answer; undefined if it is valid. */
export function findAnswerFault(head: AnswerHead): string | undefined {
  const { status, majorVersion = HTTP_1, rawHeaders } = head;
  if (majorVersion !== HTTP_1) return `HTTP ${majorVersion}, expected ${HTTP_1}`;
  if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
    const text = String(status).padStart(STATUS_DIGITS, '0');
    return `status ${text}, expected ${MIN_FINAL_STATUS} to ${MAX_STATUS}`;
  }
  let codings = 0;
  for (const [name, value] of listPairs(rawHeaders)) {
    if (!TOKEN_PATTERN.test(name)) return 'a header name that is not a token';
    if (!VALUE_PATTERN.test(value)) return `control characters in header ${name}`;
    if (name.toLowerCase() !== 'transfer-encoding') continue;
    codings += 1;
    if (codings > 1 || value.toLowerCase() !== 'chunked') {
      return 'a transfer coding other than chunked';
    }
  }
  return undefined;
}

/** Returns what is wrong with the head of an answer that Node's client has received. */
export function findResponseFault(response: IncomingMessage): string | undefined {
  const { statusCode: status = 0, httpVersionMajor: majorVersion, rawHeaders } = response;
  return findAnswerFault({ status, majorVersion, rawHeaders });
}
