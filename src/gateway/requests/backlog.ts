/**
 * Requests that have been read but not started: the queue for this daemon's own CPU.
 *
 * It handles more requests than the daemon can process, as in a burst or when callers retry. The
 * event loop accepts one connection per iteration and serves what it reads in the same iteration.
 * Under overload, connections would wait for seconds in the listen queue, where nothing can order
 * or refuse them; by the time they are read their callers have left, and the CPU time is spent on
 * them. So reading has priority over starting: all pending input is read as far as possible,
 * nothing is started for a caller that has left, only a few requests are started per iteration, and
 * the others are ordered and refused like calls that wait for a target, at the pace of the daemon's
 * own CPU.
 *
 * As a result, more calls are served, none is held past its time-out, and hardly any is forwarded
 * for a caller that has left (`test/overdue.test.ts`).
 */
import { DecayingMean, type QueuedCall, QuantileEstimate, WaitQueue } from '../../balance/index.js';
import type { Clock, Random } from '../../kernel/index.js';
import type { EventLoopMonitor } from '../event-loop-monitor.js';

/** A request that was read. Times are on the kernel's clock, in milliseconds. */
export interface BacklogCall extends QueuedCall {
  /** When it is estimated to have arrived at this machine. */
  readonly estimatedArrivalAt: number;
  /** Whether its caller has left. */
  readonly hasCallerLeft: () => boolean;
  readonly start: () => void;
  /** Answers that it has not run and may be retried after `wait` milliseconds. */
  readonly refuse: (wait: number) => void;
  /** Ends it without an answer. */
  readonly drop: () => void;
}

/** Dependencies of the backlog. */
export interface BacklogOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly random: Random;
  readonly eventLoop: Pick<
    EventLoopMonitor,
    'mayHavePendingConnections' | 'accepted' | 'hasRecentListenOverflow' | 'scheduleAfterIteration'
  >;
}

/**
 * Time per event-loop iteration for starting requests, in milliseconds. Started requests cause
 * about twice as much work in later iterations, so an iteration takes about three times this: too
 * short to be noticed by callers with target latencies of 100 ms.
 */
const MAX_START_TIME_MS = 5;

/**
 * While connections wait to be accepted, nothing is started until this many more were accepted. It
 * is a count and not a time, since the CPU may be taken away at any moment; accepting them takes as
 * long as the requests started in one iteration.
 */
const MAX_ACCEPTS_BEFORE_START = 12;

/**
 * A request that may have been unread for longer than this is started only after its connection was
 * polled once more, because the caller's close is read in an iteration of its own. In milliseconds;
 * shorter than any caller waits. The same applies to every request while connections may arrive
 * whose callers have waited in the kernel unseen and left.
 */
const MAX_UNREAD_TIME_MS = 20;

/** Initial estimate of the time to start a request, before the code is warm, in milliseconds. */
const INITIAL_COST_MS = 2;

/** Half-life of the mean interval between starts, in milliseconds: some dozens of requests. */
const PACE_HALF_LIFE_MS = 500;

/**
 * An older pace is not used, in milliseconds. Only iterations that leave requests waiting measure
 * it, and it may refuse all requests that would wait; while the daemon is overloaded there is one
 * every few milliseconds.
 */
const PACE_LIFETIME_MS = 1000;

/**
 * Most requests started in one iteration, however cheap they are: each one sends to a target at
 * once.
 */
const MAX_BATCH_SIZE = 64;

/** The backlog of one daemon. */
export class Backlog {
  readonly #queue: WaitQueue<BacklogCall>;

  /** Requests that were added since all connections were last polled. */
  #unpolled = new Set<BacklogCall>();

  /** Time to start one request: the median, since the CPU may be taken away meanwhile. */
  readonly #startCost = new QuantileEstimate(0.5);

  #pace = new DecayingMean(PACE_HALF_LIFE_MS);

  #paceMeasuredAt = -Infinity;

  #isScheduled = false;

  /** Connections accepted when requests were last started. */
  #acceptedAtLastStart = 0;

  /**
   * The last iteration that left requests waiting, and how many it started; undefined when none are
   * left.
   */
  #lastPartialBatch: { readonly at: number; readonly startedCount: number } | undefined;

  constructor(private readonly options: BacklogOptions) {
    this.#queue = new WaitQueue(options.clock, options.random);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#queue.size;
  }

  /** Time between two starts while requests wait, in milliseconds. */
  get pace(): number {
    const startCost = this.#startCost.read(INITIAL_COST_MS);
    return this.#isPaceRecent ? this.#pace.read(startCost) : startCost;
  }

  get #isPaceRecent(): boolean {
    return this.options.clock.now() - this.#paceMeasuredAt < PACE_LIFETIME_MS;
  }

  /**
   * Adds a request: it starts at the end of this event-loop iteration, waits for a later one, or is
   * refused.
   */
  add(call: BacklogCall): void {
    this.#queue.recordArrival(call);
    this.#queue.updatePace(this.pace, 1);
    let isSure = true;
    if (this.size >= this.#computeBatchSize()) {
      const admission = this.#queue.judge(call);
      if (admission.kind === 'refuse' && call.mayBeRefused && call.isWorkKnown) {
        call.refuse(this.#queue.chooseRetryDelay(admission.wait));
        return;
      }
      isSure = admission.kind === 'in-time';
    }
    this.#queue.add(call, isSure);
    this.#unpolled.add(call);
    this.#schedule();
  }

  /** Removes a request that is answered otherwise; returns whether it waited. */
  remove(call: BacklogCall): boolean {
    return this.#queue.remove(call);
  }

  /** Refuses all waiting requests, as this daemon stops. */
  refuseAll(wait: number): void {
    for (const call of [...this.#queue.list()]) {
      this.#queue.remove(call);
      if (call.hasCallerLeft()) call.drop();
      else call.refuse(wait);
    }
  }

  #schedule(): void {
    if (this.#isScheduled || this.size === 0) return;
    this.#isScheduled = true;
    let startedAt = 0;
    let startedCount = 0;
    this.options.eventLoop.scheduleAfterIteration(() => {
      this.#isScheduled = false;
      startedAt = this.options.clock.now();
      startedCount = this.#startBatch(startedAt);
      this.#schedule();
    });
    // Runs after the synchronous work of the started requests.
    this.options.eventLoop.scheduleAfterIteration(() => {
      if (startedCount > 0)
        this.#startCost.add((this.options.clock.now() - startedAt) / startedCount);
    });
  }

  #computeBatchSize(): number {
    const count = Math.floor(
      MAX_START_TIME_MS / Math.max(0.01, this.#startCost.read(INITIAL_COST_MS)),
    );
    return Math.min(MAX_BATCH_SIZE, Math.max(1, count));
  }

  /** Starts the next requests and returns how many. */
  #startBatch(now: number): number {
    const unpolled = this.#unpolled;
    this.#unpolled = new Set();
    const { eventLoop } = this.options;
    if (
      eventLoop.mayHavePendingConnections &&
      eventLoop.accepted - this.#acceptedAtLastStart < MAX_ACCEPTS_BEFORE_START
    )
      return 0;
    this.#acceptedAtLastStart = eventLoop.accepted;
    const batchSize = this.#computeBatchSize();
    let startedCount = 0;
    for (const call of this.#queue.list()) {
      if (call.hasCallerLeft()) {
        this.#queue.remove(call);
        call.drop();
        continue;
      }
      if (startedCount >= batchSize) break;
      if (
        unpolled.has(call) &&
        (eventLoop.hasRecentListenOverflow || now - call.estimatedArrivalAt > MAX_UNREAD_TIME_MS)
      )
        continue;
      this.#queue.remove(call);
      call.start();
      startedCount += 1;
    }
    this.#recordPace(startedCount, now);
    for (const { call, wait } of this.#queue.removeHopeless()) {
      if (call.hasCallerLeft()) call.drop();
      else call.refuse(this.#queue.chooseRetryDelay(wait));
    }
    // The time until the next request is no time between two starts.
    if (this.size === 0) this.#lastPartialBatch = undefined;
    return startedCount;
  }

  /** Updates the mean interval between starts, from iterations that left requests waiting. */
  #recordPace(startedCount: number, now: number): void {
    const previous = this.#lastPartialBatch;
    if (previous !== undefined && previous.startedCount > 0) {
      if (!this.#isPaceRecent) this.#pace = new DecayingMean(PACE_HALF_LIFE_MS);
      this.#pace.add((now - previous.at) / previous.startedCount, now);
      this.#paceMeasuredAt = now;
      this.#queue.updatePace(this.pace, 1);
    }
    if (previous === undefined || previous.startedCount > 0)
      this.#lastPartialBatch = { at: now, startedCount };
    else this.#lastPartialBatch = { at: previous.at, startedCount };
  }
}
