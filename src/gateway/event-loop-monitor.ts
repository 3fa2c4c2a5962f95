/**
 * Watches the turns of this daemon's event loop: how late it runs what is due, and how long what it reads
 * may have lain unread.
 *
 * In one turn the loop reads whatever has come since it last looked. So while it never waits, a request
 * read now may have come at any time since it looked the last time; nothing in the request tells. Once it
 * has waited, nothing lay unread, and what came later came after the wait.
 *
 * Connections lie longer: the loop accepts one of each listener in a turn. While every turn accepts one,
 * others may wait behind it, and have done so since the first of those turns; but no more of them than the
 * listener lets wait, so none for longer than that many took before it.
 */
import { performance } from 'node:perf_hooks';
import type { Clock, Log, TextMetrics } from '../kernel/index.js';

/** Time between two looks: short against what a caller notices, and cheap. */
const MEASURE_INTERVAL_MS = 100;

/** A turn this late is worth a line, in milliseconds; callers of the shortest aims notice half of it. */
const LOGGED_LAG_MS = 50;

/** Turns that each accepted a connection for this long are worth a line, in milliseconds. */
const LOGGED_RUN_MS = 50;

/** Less waiting than this between two turns is within the error of the loop's own account, in milliseconds. */
const MIN_IDLE_MS = 0.05;

/**
 * When more connections come than may wait, the kernel puts off the others' handshakes while their callers
 * take them for open, and completes them when it tries again: after one, three and seven seconds, by when
 * most callers have given up.
 */
const HANDSHAKE_DELAY_MS = 7500;

/** The event loop as the watch sees it. */
export interface EventLoopSource {
  /** Returns for how long the loop has waited for something to happen since the start, in milliseconds. */
  readonly readIdleMs: () => number;
  /** Calls `action` at the end of this turn, after all that it has read. */
  readonly scheduleAfterIteration: (action: () => void) => void;
}

/** Creates the source of this process's own event loop. */
export function createEventLoopSource(): EventLoopSource {
  return {
    readIdleMs: () => performance.eventLoopUtilization().idle,
    scheduleAfterIteration: (action) => {
      setImmediate(action);
    },
  };
}

/** A moment on the loop's account: what was read then may have come since `earliest`. */
export interface AcceptMark {
  readonly earliest: number;
  readonly idleMs: number;
}

/** What the watch is made from. */
export interface EventLoopMonitorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
  readonly source: EventLoopSource;
  /** Connections that may wait to be accepted. */
  readonly listenQueue: number;
}

/** The watch of one daemon. */
export class EventLoopMonitor {
  #isInIteration = false;

  #earliestArrival: number;

  /** When this turn looked for what has come, at the earliest. */
  #polledAt: number;

  #iterationEndedAt: number;

  #idleMsAtEnd: number;

  #hasAccepted = false;

  /** When the last connections were accepted, as many as may wait behind one another; oldest at the next place. */
  readonly #acceptedAt: Float64Array;

  /** Connections accepted since the start. */
  accepted = 0;

  /** Since when connections may have waited; undefined while the last turn accepted none. */
  #acceptRunSince: number | undefined;

  /** Connections that had been accepted when that began. */
  #acceptedBeforeRun = 0;

  /** When as many connections as may wait had been accepted without a pause. */
  #queueFullAt = -Infinity;

  constructor(private readonly options: EventLoopMonitorOptions) {
    const now = options.clock.now();
    this.#acceptedAt = new Float64Array(options.listenQueue).fill(-Infinity);
    this.#earliestArrival = now;
    this.#polledAt = now;
    this.#iterationEndedAt = now;
    this.#idleMsAtEnd = options.source.readIdleMs();
  }

  /** Whether the last turn accepted a connection, so that others may wait. */
  get mayHavePendingConnections(): boolean {
    return this.#acceptRunSince !== undefined;
  }

  /** Whether requests may come now whose callers have waited for a time that nothing here tells. */
  get hasRecentListenOverflow(): boolean {
    return this.options.clock.now() - this.#queueFullAt < HANDSHAKE_DELAY_MS;
  }

  /** Calls `action` at the end of this turn, after all that it has read. */
  scheduleAfterIteration(action: () => void): void {
    this.options.source.scheduleAfterIteration(action);
  }

  /** Notes that a connection is accepted now. */
  recordAccept(): AcceptMark {
    this.#beginIteration();
    this.#hasAccepted = true;
    if (this.#acceptRunSince === undefined) this.#beginAcceptRun(this.#earliestArrival);
    const index = this.accepted % this.#acceptedAt.length;
    const oldest = this.#acceptedAt[index] ?? -Infinity;
    this.#acceptedAt[index] = this.options.clock.now();
    this.accepted += 1;
    if (this.accepted - this.#acceptedBeforeRun >= this.#acceptedAt.length) {
      this.#queueFullAt = this.options.clock.now();
    }
    const earliest = Math.max(this.#acceptRunSince ?? this.#earliestArrival, oldest);
    return { earliest, idleMs: this.options.source.readIdleMs() };
  }

  /**
   * Estimates when something came that is read now: in the middle of the time in which it may have.
   *
   * @param accepted when its connection was accepted, for the first request on it: until the loop has
   *   waited once more, that connection was not looked at since
   */
  estimateArrival(accepted?: AcceptMark): number {
    const now = this.options.clock.now();
    this.#beginIteration();
    const wasPolled =
      accepted === undefined || this.options.source.readIdleMs() - accepted.idleMs > MIN_IDLE_MS;
    const earliest = wasPolled ? this.#earliestArrival : accepted.earliest;
    return (Math.min(earliest, now) + now) / 2;
  }

  /** Measures both until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, metrics } = this.options;
    while (!signal.aborted) {
      const dueAt = clock.now() + MEASURE_INTERVAL_MS;
      await clock.sleep(MEASURE_INTERVAL_MS, signal);
      if (signal.aborted) return;
      this.#beginIteration();
      const lag = Math.max(0, clock.now() - dueAt);
      metrics.observe('event_loop_lag_ms', {}, lag);
      if (lag >= LOGGED_LAG_MS) log.warn('loop.late', { lag: Math.round(lag) });
      const acceptRun = this.#acceptRunSince === undefined ? 0 : clock.now() - this.#acceptRunSince;
      metrics.observe('accept_run_ms', {}, acceptRun);
      if (acceptRun >= LOGGED_RUN_MS) log.warn('accept.late', { run: Math.round(acceptRun) });
    }
  }

  #beginAcceptRun(since: number): void {
    const { source } = this.options;
    this.#acceptRunSince = since;
    this.#acceptedBeforeRun = this.accepted;
    const checkAccepts = () => {
      if (this.#hasAccepted) {
        this.#hasAccepted = false;
        source.scheduleAfterIteration(checkAccepts);
        return;
      }
      this.#acceptRunSince = undefined;
    };
    source.scheduleAfterIteration(checkAccepts);
  }

  #beginIteration(): void {
    if (this.#isInIteration) return;
    this.#isInIteration = true;
    const { clock, source } = this.options;
    const idleMs = source.readIdleMs() - this.#idleMsAtEnd;
    const polledAt = this.#iterationEndedAt + Math.max(0, idleMs);
    this.#earliestArrival = idleMs > MIN_IDLE_MS ? polledAt : this.#polledAt;
    this.#polledAt = polledAt;
    source.scheduleAfterIteration(() => {
      this.#isInIteration = false;
      this.#iterationEndedAt = clock.now();
      this.#idleMsAtEnd = source.readIdleMs();
    });
  }
}
