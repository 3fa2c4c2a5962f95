/** Reads what is left of an answer that is not forwarded. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '../../kernel/index.js';

/** What is read of such an answer at most, in bytes. */
const MAX_DISCARDED_BYTES = 65_536;

const MAX_DISCARD_TIME_MS = 1000;

/**
 * Reads the rest of an answer, so that its connection can be used again. Closes the connection when
 * the rest is too long or too slow: a faulty target may send without end.
 */
export function finishUnusedAnswer(response: IncomingMessage, clock: Clock): void {
  let bytes = 0;
  const timer = clock.schedule(MAX_DISCARD_TIME_MS, () => response.destroy());
  response.once('close', () => timer.cancel());
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_DISCARDED_BYTES) response.destroy();
  });
}
