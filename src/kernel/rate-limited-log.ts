/** A log of key=value lines on standard output that is bounded and never blocks the daemon. */
import type { Clock } from './clock.js';
import { LOG_LEVELS, type Log, type LogFields, type LogLevel, formatEvent } from './log-format.js';

/** Lines a second of one event, and how many may come at once; set so that a flood costs little. */
const LINES_PER_SECOND = 20;
const MAX_BURST_LINES = 60;

/** Bytes that may wait to be written before lines are dropped. */
const MAX_BUFFERED_BYTES = 262_144;

interface EventBucket {
  tokens: number;
  refilledAt: number;
  dropped: number;
}

/** Where lines go, such as standard output. */
export interface LogSink {
  readonly writableLength: number;
  write(text: string): boolean;
}

/** Creates the log. Each event has its own allowance; a line that follows dropped ones counts them. */
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
