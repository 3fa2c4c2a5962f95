/** Validates a request's head before anything else reads it, to protect against hostile input. */
import type { IncomingMessage } from 'node:http';
import { listPairs } from './headers.js';

/** Why a request is rejected: an HTTP status and an explanation. */
export interface HeadRefusal {
  readonly status: number;
  readonly detail: string;
}

const SINGLE_VALUE_HEADERS = new Set([
  'host',
  'content-length',
  'transfer-encoding',
  'idempotency-key',
]);
const DOT_SEGMENT_PATTERN = /(?:^|[/\\])(?:\.|%2e){1,2}(?:[/\\]|%2f|%5c|$)/i;
/** Matches the name of a header. */
export const TOKEN_PATTERN = /^[!#$%&'*+.^_`|~\w-]+$/;
const HOST_PATTERN = /^[\w.-]+(?::\d{1,5})?$/;

function refuse(status: number, detail: string): HeadRefusal {
  return { status, detail };
}

function checkFields(request: IncomingMessage): HeadRefusal | undefined {
  const seen = new Set<string>();
  for (const [name, value] of listPairs(request.rawHeaders)) {
    const lower = name.toLowerCase();
    if (!TOKEN_PATTERN.test(name)) return refuse(400, 'a header name is not a token');
    if (SINGLE_VALUE_HEADERS.has(lower) && seen.has(lower))
      return refuse(400, `header ${lower} stands twice`);
    if (value.includes('\n') || value.includes('\r')) return refuse(400, 'a folded header');
    seen.add(lower);
  }
  if (seen.has('content-length') && seen.has('transfer-encoding')) {
    return refuse(400, 'both content-length and transfer-encoding');
  }
  return undefined;
}

function checkRequestTarget(target: string): HeadRefusal | undefined {
  if (target === '*') return undefined;
  if (!target.startsWith('/')) return refuse(400, 'a target that is not a path');
  const [path = ''] = target.split('?', 1);
  if (DOT_SEGMENT_PATTERN.test(path)) return refuse(400, 'a path with dot segments');
  return undefined;
}

/** Checks the head of a request; returns undefined if it is valid. */
export function checkHead(request: IncomingMessage): HeadRefusal | undefined {
  const refusal = checkFields(request);
  if (refusal !== undefined) return refusal;
  const { host } = request.headers;
  if (host === undefined || !HOST_PATTERN.test(host)) return refuse(400, 'no valid Host');
  const coding = request.headers['transfer-encoding'];
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
    return refuse(501, 'a transfer coding other than chunked');
  }
  const expectation = request.headers.expect;
  if (expectation !== undefined && expectation.toLowerCase() !== '100-continue') {
    return refuse(417, 'an expectation other than 100-continue');
  }
  return checkRequestTarget(request.url ?? '');
}

/**
 * Replaces a request target in absolute form by its path, and the `Host` header by its host.
 * Other targets are left unchanged.
 */
export function normalizeTarget(request: IncomingMessage): void {
  const match = /^https?:\/\/([^/?#]+)(\/.*)?$/i.exec(request.url ?? '');
  if (match === null) return;
  const [, host = '', path = '/'] = match;
  request.headers.host = host;
  request.url = path;
}
