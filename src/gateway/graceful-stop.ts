/** How long a stopping daemon accepts requests, and waits for those in progress. */
import type { Clock } from '../kernel/index.js';

/**
 * Parts of the grace period: requests that are handled in the first one are accepted, those that nobody
 * has begun to run at the end of the second are refused, and connections are closed at the end of
 * the third. The rest is headroom for a busy machine.
 */
const ACCEPTING_RATIO = 0.5;
const QUEUEING_RATIO = 0.76;
const WAITING_RATIO = 0.86;

/** Callers know that the daemon leaves this long after the stop began. */
const LEAVE_NOTICE_MS = 2200;

const STOP_CHECK_INTERVAL_MS = 20;

/** The requests and connections of a daemon that stops. */
export interface DrainingDaemon {
  readonly clock: Clock;
  /** Counts the requests in progress. */
  readonly countActive: () => number;
  /** Counts the open connections of callers. */
  readonly countConnections: () => number;
  /** Requests that are handled after this time of the clock are refused. */
  readonly acceptUntil: (time: number) => void;
  /** Refuses the requests that are at no target, from now on. */
  readonly refuseWaiting: () => void;
}

/** When a stop began, on the daemon's clock, and how long it may take, in milliseconds. */
export interface StopTimes {
  readonly startedAt: number;
  readonly grace: number;
}

/**
 * Waits until no request is in progress and callers had the time to learn that the daemon stops, or
 * until the grace period is nearly over.
 */
export async function waitUntilDrained(
  { startedAt, grace }: StopTimes,
  daemon: DrainingDaemon,
): Promise<void> {
  const { clock, countActive, countConnections } = daemon;
  let hasRefused = false;
  daemon.acceptUntil(startedAt + grace * ACCEPTING_RATIO);
  for (;;) {
    const elapsed = clock.now() - startedAt;
    if (elapsed >= grace * WAITING_RATIO) return;
    const isIdle = countActive() === 0;
    if (isIdle && elapsed > LEAVE_NOTICE_MS && countConnections() === 0) return;
    if (isIdle && elapsed > grace * ACCEPTING_RATIO) return;
    if (!hasRefused && elapsed >= grace * QUEUEING_RATIO) {
      hasRefused = true;
      daemon.refuseWaiting();
    }
    await clock.sleep(STOP_CHECK_INTERVAL_MS);
  }
}
