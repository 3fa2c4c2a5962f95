/**
 * Monitors this daemon's event loop: how late its timers run, and for how long incoming requests
 * may have waited unread.
 *
 * In one iteration the loop reads everything that has arrived since the last poll. While the loop
 * is never idle, a request that is read now may have arrived at any time since the previous poll;
 * nothing in the request says when. After an idle period nothing was left unread, so what is read
 * next arrived after it.
 *
 * Connections can wait longer, because the loop accepts one connection per listener in an
 * iteration. While every iteration accepts one, others may wait in the listen queue, since the
 * first of these iterations at the earliest. The length of the listen queue bounds this: no
 * connection waits longer than it took to accept that many before it.
 */
import { performance } from 'node:perf_hooks';
import type { Clock, Log, TextMetrics } from '../kernel/index.js';

/** Interval between two measurements: short against the delays that callers notice, and cheap. */
const MEASURE_INTERVAL_MS = 100;

/**
 * A lag of the event loop is logged from this size on; callers with the shortest target latencies
 * notice half of it.
 */
const LOGGED_LAG_MS = 50;

/** A run of iterations that each accepted a connection is logged from this length on. */
const LOGGED_RUN_MS = 50;

/** A shorter idle time between two iterations is within the error of the loop's own measurement. */
const MIN_IDLE_MS = 0.05;

/**
 * How long callers may wait after the listen queue was full. When more connections arrive than it
 * holds, the kernel delays the handshakes of the others, while their callers take them for open. It
 * completes them when it retries, after one, three and seven seconds; by then most callers have
 * given up.
 */
const HANDSHAKE_DELAY_MS = 7500;

/** Late runs are remembered for as long as requests are held, and no more than this many. */
const LATE_RUN_LIFETIME_MS = 60_000;
const MAX_LATE_RUNS = 64;

/** Work of the loop that ran late. Times are on the monitor's clock. */
interface LateRun {
  readonly dueAt: number;
  readonly ranAt: number;
}

/** What the monitor reads of the event loop. */
export interface EventLoopSource {
  /** Returns for how long the loop has been idle since the start, in milliseconds. */
  readonly readIdleMs: () => number;
  /** Calls `action` at the end of this iteration, after everything that it has read. */
  readonly scheduleAfterIteration: (action: () => void) => void;
}

/** Creates the source for the event loop of this process. */
export function createEventLoopSource(): EventLoopSource {
  return {
    readIdleMs: () => performance.eventLoopUtilization().idle,
    scheduleAfterIteration: (action) => {
      setImmediate(action);
    },
  };
}

/** Recorded when a connection is accepted. */
export interface AcceptMark {
  /** The first request on the connection may have arrived since this time of the clock. */
  readonly earliest: number;
  /** Total idle time of the loop at the accept, in milliseconds. */
  readonly idleMs: number;
}

/** What the monitor works with. */
export interface EventLoopMonitorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
  readonly source: EventLoopSource;
  /** Length of the listen queue: connections that may wait to be accepted. */
  readonly listenQueue: number;
}

/** The event-loop monitor of one daemon. */
export class EventLoopMonitor {
  #isInIteration = false;

  /** Data that is read in this iteration arrived at this time or later. */
  #earliestArrival: number;

  /** When this iteration polled for input, at the earliest. */
  #polledAt: number;

  #iterationEndedAt: number;

  #idleMsAtEnd: number;

  #hasAccepted = false;

  /**
   * When the last connections were accepted: a ring buffer as long as the listen queue, whose next
   * place holds the oldest.
   */
  readonly #acceptedAt: Float64Array;

  /** Connections accepted since the start. */
  accepted = 0;

  /**
   * Since when connections may have been waiting; undefined when the last iteration accepted none.
   */
  #acceptRunSince: number | undefined;

  /** Connections that had been accepted when that began. */
  #acceptedBeforeRun = 0;

  /** When the next measurement is due; Infinity before the first. */
  #dueAt = Infinity;

  #lateRuns: readonly LateRun[] = [];

  /** When as many connections as the listen queue holds had last been accepted without a pause. */
  #queueFullAt = -Infinity;

  constructor(private readonly options: EventLoopMonitorOptions) {
    const now = options.clock.now();
    this.#acceptedAt = new Float64Array(options.listenQueue).fill(-Infinity);
    this.#earliestArrival = now;
    this.#polledAt = now;
    this.#iterationEndedAt = now;
    this.#idleMsAtEnd = options.source.readIdleMs();
  }

  /**
   * Whether the last iteration accepted a connection, so that others may wait in the listen queue.
   */
  get mayHavePendingConnections(): boolean {
    return this.#acceptRunSince !== undefined;
  }

  /**
   * Whether the listen queue was full a short time ago. Callers of requests that arrive now may
   * then have waited for an unknown time.
   */
  get hasRecentListenOverflow(): boolean {
    return this.options.clock.now() - this.#queueFullAt < HANDSHAKE_DELAY_MS;
  }

  /**
   * Returns by how much this loop was late since a time of the clock, in milliseconds. Includes
   * what is late now: a loop that was frozen reads its input before its timers run.
   */
  readLateness(since: number): number {
    let lateness = Math.max(0, this.options.clock.now() - Math.max(since, this.#dueAt));
    for (const { dueAt, ranAt } of this.#lateRuns) {
      lateness += Math.max(0, ranAt - Math.max(since, dueAt));
    }
    return lateness;
  }

  /** Calls `action` at the end of this iteration, after everything that it has read. */
  scheduleAfterIteration(action: () => void): void {
    this.options.source.scheduleAfterIteration(action);
  }

  /** Records that a connection is accepted now. */
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
   * Estimates when data that is read now arrived: in the middle of the interval in which it may
   * have arrived.
   *
   * @param accepted the mark of the connection, for the first request on it: until the loop has
   *   been idle once more, the connection has not been read since it was accepted
   */
  estimateArrival(accepted?: AcceptMark): number {
    const now = this.options.clock.now();
    this.#beginIteration();
    const wasPolled =
      accepted === undefined || this.options.source.readIdleMs() - accepted.idleMs > MIN_IDLE_MS;
    const earliest = wasPolled ? this.#earliestArrival : accepted.earliest;
    return (Math.min(earliest, now) + now) / 2;
  }

  /** Returns when an event that is handled now may have arrived at the earliest. */
  readEarliestArrival(): number {
    const now = this.options.clock.now();
    this.#beginIteration();
    return Math.min(this.#earliestArrival, now);
  }

  /** Measures the lag and the accept run until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, metrics } = this.options;
    while (!signal.aborted) {
      const dueAt = clock.now() + MEASURE_INTERVAL_MS;
      this.#dueAt = dueAt;
      await clock.sleep(MEASURE_INTERVAL_MS, signal);
      if (signal.aborted) return;
      this.#beginIteration();
      const lag = Math.max(0, clock.now() - dueAt);
      metrics.observe('event_loop_lag_ms', {}, lag);
      if (lag >= LOGGED_LAG_MS) {
        log.warn('loop.late', { lag: Math.round(lag) });
        this.#recordLateRun({ dueAt, ranAt: clock.now() });
      }
      const acceptRun = this.#acceptRunSince === undefined ? 0 : clock.now() - this.#acceptRunSince;
      metrics.observe('accept_run_ms', {}, acceptRun);
      if (acceptRun >= LOGGED_RUN_MS) log.warn('accept.late', { run: Math.round(acceptRun) });
    }
  }

  #recordLateRun(run: LateRun): void {
    const recent = this.#lateRuns.filter(({ ranAt }) => run.ranAt - ranAt < LATE_RUN_LIFETIME_MS);
    this.#lateRuns = [...recent, run].slice(-MAX_LATE_RUNS);
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
