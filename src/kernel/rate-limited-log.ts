/** A log of key=value lines on standard output that is bounded and never blocks the daemon. */
import type { Clock } from './clock.js';
import { LOG_LEVELS, type Log, type LogFields, type LogLevel, formatEvent } from './log-format.js';

/** Lines a second of one event, and how many may come at once; set so that a flood costs little. */
const LINES_PER_SECOND = 20;
const LINES_AT_ONCE = 60;

/** Bytes that may wait to be written before lines are dropped. */
const MAX_WAITING = 262_144;

interface Allowance {
  tokens: number;
  at: number;
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
  const allowances = new Map<string, Allowance>();
  const lowest = LOG_LEVELS.indexOf(level);

  function takeAllowance(event: string, now: number): Allowance | undefined {
    const known = allowances.get(event);
    const allowance = known ?? { tokens: LINES_AT_ONCE, at: now, dropped: 0 };
    if (known === undefined) allowances.set(event, allowance);
    const earned = ((now - allowance.at) / 1000) * LINES_PER_SECOND;
    allowance.tokens = Math.min(LINES_AT_ONCE, allowance.tokens + earned);
    allowance.at = now;
    if (allowance.tokens < 1 || sink.writableLength > MAX_WAITING) {
      allowance.dropped += 1;
      return undefined;
    }
    allowance.tokens -= 1;
    return allowance;
  }

  function write(rank: LogLevel, event: string, fields: LogFields = {}): void {
    if (LOG_LEVELS.indexOf(rank) > lowest) return;
    const now = clock.now();
    const allowance = takeAllowance(event, now);
    if (allowance === undefined) return;
    const dropped = allowance.dropped === 0 ? undefined : allowance.dropped;
    allowance.dropped = 0;
    const line = formatEvent(event, { ...base, ...fields, dropped });
    sink.write(`time=${new Date(clock.wall()).toISOString()} level=${rank} ${line}\n`);
  }

  return {
    debug: (event, fields) => write('debug', event, fields),
    info: (event, fields) => write('info', event, fields),
    warn: (event, fields) => write('warn', event, fields),
    error: (event, fields) => write('error', event, fields),
  };
}
