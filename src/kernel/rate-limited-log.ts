/**
 * A log of key=value lines on standard output. Its rate and buffer are limited, so it never blocks
 * the daemon.
 */
import type { Clock } from './clock.js';
import { LOG_LEVELS, type Log, type LogFields, type LogLevel, formatEvent } from './log-format.js';

/**
 * Lines a second of one event, and how many of them may come at once, so that a flood costs little.
 */
const LINES_PER_SECOND = 20;
const MAX_BURST_LINES = 60;

/** Bytes that may wait in the output buffer before lines are dropped. */
const MAX_BUFFERED_BYTES = 262_144;

interface EventBucket {
  tokens: number;
  refilledAt: number;
  dropped: number;
}

/** Where lines are written, such as standard output. */
export interface LogSink {
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * Creates the log. Each event has its own rate limit. The first line after dropped ones has their
 * number as `dropped`.
 */
export function createRateLimitedLog(
  clock: Clock,
  level: LogLevel,
  base: LogFields,
  sink: LogSink = process.stdout,
): Log {
  const buckets = new Map<string, EventBucket>();
  const lowestRank = LOG_LEVELS.indexOf(level);

  function takeToken(event: string, now: number): EventBucket | undefined {
    const existing = buckets.get(event);
    const bucket = existing ?? { tokens: MAX_BURST_LINES, refilledAt: now, dropped: 0 };
    if (existing === undefined) buckets.set(event, bucket);
    const earned = ((now - bucket.refilledAt) / 1000) * LINES_PER_SECOND;
    bucket.tokens = Math.min(MAX_BURST_LINES, bucket.tokens + earned);
    bucket.refilledAt = now;
    if (bucket.tokens < 1 || sink.writableLength > MAX_BUFFERED_BYTES) {
      bucket.dropped += 1;
      return undefined;
    }
    bucket.tokens -= 1;
    return bucket;
  }

  function write(lineLevel: LogLevel, event: string, fields: LogFields = {}): void {
    if (LOG_LEVELS.indexOf(lineLevel) > lowestRank) return;
    const now = clock.now();
    const bucket = takeToken(event, now);
    if (bucket === undefined) return;
    const dropped = bucket.dropped === 0 ? undefined : bucket.dropped;
    bucket.dropped = 0;
    const line = formatEvent(event, { ...base, ...fields, dropped });
    sink.write(`time=${new Date(clock.wall()).toISOString()} level=${lineLevel} ${line}\n`);
  }

  return {
    debug: (event, fields) => write('debug', event, fields),
    info: (event, fields) => write('info', event, fields),
    warn: (event, fields) => write('warn', event, fields),
    error: (event, fields) => write('error', event, fields),
  };
}
