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
  readonly cameAt: number;
  /** Whether its caller has left. */
  readonly isGone: () => boolean;
  readonly begin: () => void;
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
const BEGIN_TIME = 5;

/**
 * While connections wait to be accepted nothing is begun until this many were. A count, as the processor may be
 * taken away at any moment: they take as much time as what is begun in a turn.
 */
const READING_COUNT = 12;

/**
 * A request that may have lain unread for longer than this is begun after one more look at its connection:
 * its caller's leaving is read in a turn of its own. In milliseconds, shorter than any caller waits. The same
 * holds for every request while connections may come whose callers have waited elsewhere, and left.
 */
const LOOK_AGAIN = 20;

/** Time to begin the first request, with code that is cold, in milliseconds. */
const FIRST_COST = 2;

/** The pace follows some dozens of requests, in milliseconds. */
const HALF_LIFE = 500;

/** Requests begun in one turn at most, however cheap they seem: each sends to a target at once. */
const MOST_IN_TURN = 64;

/** The backlog of one daemon. */
export class Backlog {
  readonly #line: WaitQueue<BacklogCall>;

  /** Requests that came since the last look at all connections. */
  #fresh = new Set<BacklogCall>();

  /** Time to begin one: the median, since the processor may be taken away while one is begun. */
  readonly #cost = new QuantileEstimate(0.5);

  readonly #pace = new DecayingMean(HALF_LIFE);

  #isScheduled = false;

  /** Connections accepted when something was begun last. */
  #acceptedBefore = 0;

  /** The last turn with requests left over, and how many it began; undefined when none are. */
  #leftOver: { readonly at: number; readonly begun: number } | undefined;

  constructor(private readonly options: BacklogOptions) {
    this.#line = new WaitQueue(options.clock, options.random);
  }

  /** Requests that wait. */
  get size(): number {
    return this.#line.size;
  }

  /** Time between two beginnings while requests wait, in milliseconds. */
  get pace(): number {
    return this.#pace.read(this.#cost.read(FIRST_COST));
  }

  /** Takes a request: it is begun at the end of this turn, or waits for a later one, or is refused. */
  add(call: BacklogCall): void {
    this.#line.recordArrival(call);
    this.#line.updatePace(this.pace, 1);
    let isSure = true;
    if (this.size >= this.#countBatch()) {
      const admission = this.#line.judge(call);
      if (admission.kind === 'refuse' && call.mayBeRefused && call.isWorkKnown) {
        call.refuse(this.#line.chooseRetryDelay(admission.wait));
        return;
      }
      isSure = admission.kind === 'in-time';
    }
    this.#line.add(call, isSure);
    this.#fresh.add(call);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled || this.size === 0) return;
    this.#isScheduled = true;
    let startedAt = 0;
    let begun = 0;
    this.options.eventLoop.scheduleAfterIteration(() => {
      this.#isScheduled = false;
      startedAt = this.options.clock.now();
      begun = this.#serve(startedAt);
      this.#schedule();
    });
    // Runs after all that the requests begun do at once.
    this.options.eventLoop.scheduleAfterIteration(() => {
      if (begun > 0) this.#cost.add((this.options.clock.now() - startedAt) / begun);
    });
  }

  #countBatch(): number {
    const count = Math.floor(BEGIN_TIME / Math.max(0.01, this.#cost.read(FIRST_COST)));
    return Math.min(MOST_IN_TURN, Math.max(1, count));
  }

  /** Begins the requests whose turn has come; returns how many. */
  #serve(now: number): number {
    const fresh = this.#fresh;
    this.#fresh = new Set();
    const { eventLoop: turns } = this.options;
    if (turns.mayHavePendingConnections && turns.accepted - this.#acceptedBefore < READING_COUNT)
      return 0;
    this.#acceptedBefore = turns.accepted;
    const batch = this.#countBatch();
    let begun = 0;
    for (const call of this.#line.list()) {
      if (call.isGone()) {
        this.#line.remove(call);
        call.drop();
        continue;
      }
      if (begun >= batch) break;
      if (fresh.has(call) && (turns.hasRecentListenOverflow || now - call.cameAt > LOOK_AGAIN))
        continue;
      this.#line.remove(call);
      call.begin();
      begun += 1;
    }
    this.#notePace(begun, now);
    for (const { call, wait } of this.#line.removeHopeless()) {
      if (call.isGone()) call.drop();
      else call.refuse(this.#line.chooseRetryDelay(wait));
    }
    return begun;
  }

  /** Learns the pace from turns after which requests were left over. */
  #notePace(begun: number, now: number): void {
    const since = this.#leftOver;
    if (since !== undefined && since.begun > 0) {
      this.#pace.add((now - since.at) / since.begun, now);
      this.#line.updatePace(this.pace, 1);
    }
    if (this.size === 0) this.#leftOver = undefined;
    else if (since === undefined || since.begun > 0) this.#leftOver = { at: now, begun };
    else this.#leftOver = { at: since.at, begun };
  }
}
