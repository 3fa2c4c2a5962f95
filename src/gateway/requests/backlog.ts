/**
 * Requests that were read and are not begun yet: the line for this daemon's own processor.
 *
 * The pattern answered: more requests than the daemon can handle, as in a burst or when callers repeat. The
 * event loop accepts one connection in a turn and serves what it reads in the same turn, so with more work
 * than time connections wait for seconds where nothing sees them; when they are read their callers have
 * left, and the time goes to them. So reading goes before beginning. What has come is read as far as
 * possible, nothing is begun for a caller that has left, a few requests are begun in a turn, and the
 * others are ordered and judged as those that wait for a target, with the processor's own pace.
 *
 * What it buys: more calls are served, none is held on past its time-out, and hardly any is sent on for a caller that
 * has left (`test/overdue.test.ts`).
 */
import { DecayingMean, type QueuedCall, QuantileEstimate, WaitQueue } from '../../balance/index.js';
import type { Clock, Random } from '../../kernel/index.js';
import type { EventLoopMonitor } from '../event-loop-monitor.js';

/** A request that was read. Times are on the clock, in milliseconds. */
export interface BacklogCall extends QueuedCall {
  /** When it is estimated to have come. */
  readonly estimatedArrivalAt: number;
  /** Whether its caller has left. */
  readonly hasCallerLeft: () => boolean;
  readonly start: () => void;
  /** Tells its caller that it has not run, and after how long it may return. */
  readonly refuse: (wait: number) => void;
  /** Ends it without an answer. */
  readonly drop: () => void;
}

/** What the backlog is made from. */
export interface BacklogOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly random: Random;
  readonly eventLoop: Pick<
    EventLoopMonitor,
    'mayHavePendingConnections' | 'accepted' | 'hasRecentListenOverflow' | 'scheduleAfterIteration'
  >;
}

/**
 * Time in a turn for beginning requests, in milliseconds. What was begun makes about twice as much work in later
 * turns, so turns stay near three times this: below what callers with aims of 100 ms notice.
 */
const MAX_START_TIME_MS = 5;

/**
 * While connections wait to be accepted nothing is begun until this many were. A count, as the processor may be
 * taken away at any moment: they take as much time as what is begun in a turn.
 */
const MAX_ACCEPTS_BEFORE_START = 12;

/**
 * A request that may have lain unread for longer than this is begun after one more look at its connection:
 * its caller's leaving is read in a turn of its own. In milliseconds, shorter than any caller waits. The same
 * holds for every request while connections may come whose callers have waited elsewhere, and left.
 */
const MAX_UNREAD_TIME_MS = 20;

/** Time to begin the first request, with code that is cold, in milliseconds. */
const INITIAL_COST_MS = 2;

/** The pace follows some dozens of requests, in milliseconds. */
const PACE_HALF_LIFE_MS = 500;

/** Requests begun in one turn at most, however cheap they seem: each sends to a target at once. */
const MAX_BATCH_SIZE = 64;

/** The backlog of one daemon. */
export class Backlog {
  readonly #queue: WaitQueue<BacklogCall>;

  /** Requests that came since the last look at all connections. */
  #unpolled = new Set<BacklogCall>();

  /** Time to begin one: the median, since the processor may be taken away while one is begun. */
  readonly #startCost = new QuantileEstimate(0.5);

  readonly #pace = new DecayingMean(PACE_HALF_LIFE_MS);

  #isScheduled = false;

  /** Connections accepted when something was begun last. */
  #acceptedAtLastStart = 0;

  /** The last turn with requests left over, and how many it began; undefined when none are. */
  #lastPartialBatch: { readonly at: number; readonly startedCount: number } | undefined;

  constructor(private readonly options: BacklogOptions) {
    this.#queue = new WaitQueue(options.clock, options.random);
  }

  /** Requests that wait. */
  get size(): number {
    return this.#queue.size;
  }

  /** Time between two beginnings while requests wait, in milliseconds. */
  get pace(): number {
    return this.#pace.read(this.#startCost.read(INITIAL_COST_MS));
  }

  /** Takes a request: it is begun at the end of this turn, or waits for a later one, or is refused. */
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
    // Runs after all that the requests begun do at once.
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

  /** Begins the requests whose turn has come; returns how many. */
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
    return startedCount;
  }

  /** Learns the pace from turns after which requests were left over. */
  #recordPace(startedCount: number, now: number): void {
    const previous = this.#lastPartialBatch;
    if (previous !== undefined && previous.startedCount > 0) {
      this.#pace.add((now - previous.at) / previous.startedCount, now);
      this.#queue.updatePace(this.pace, 1);
    }
    if (this.size === 0) this.#lastPartialBatch = undefined;
    else if (previous === undefined || previous.startedCount > 0)
      this.#lastPartialBatch = { at: now, startedCount };
    else this.#lastPartialBatch = { at: previous.at, startedCount };
  }
}
