/**
 * How late this daemon's event loop runs: work that is due waits for work that is under way.
 *
 * A daemon that lags acts late on everything, on callers that left and on targets that leave as well, so
 * its lag belongs beside every question of why something came late.
 */
import type { Clock, Log, TextMetrics } from '../kernel/index.js';

/** Time between two looks: short against what a caller notices, and cheap. */
const PACE = 100;

/** A turn this late is worth a line, in milliseconds; callers of the shortest aims notice half of it. */
const LONG_LAG = 50;

/** What the watch is made from. */
export interface LoopLagOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
}

/** Measures the lag until the signal aborts. */
export async function watchLoopLag(
  { clock, log, metrics }: LoopLagOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const dueAt = clock.now() + PACE;
    await clock.sleep(PACE, signal);
    if (signal.aborted) return;
    const lag = Math.max(0, clock.now() - dueAt);
    metrics.observe('event_loop_lag_ms', {}, lag);
    if (lag >= LONG_LAG) log.warn('loop.late', { lag: Math.round(lag) });
  }
}
