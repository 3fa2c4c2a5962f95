/**
 * A queue of calls that wait for one resource: a free slot at the targets, or this daemon's own
 * processor.
 *
 * Calls admitted as in time go first, by priority and then by the time at which they become late;
 * within a priority, those that take more than their share go last.
 * Calls that may be late, and then those that are late, get the capacity left over. Whether a call
 * waits at all is decided when it arrives, and again when the outlook changes.
 */
import type { Clock, Random } from '../kernel/index.js';
import {
  type Admission,
  ArrivalRate,
  type QueueOutlook,
  type WaitTerms,
  judgeArrival,
  judgeLate,
} from './admission.js';

/** A call that may wait in the queue. Times are in milliseconds. */
export interface QueuedCall {
  /** 0 is the most urgent. */
  readonly priority: number;
  /**
   * Whether it goes after the others of its priority, as it takes more than its share: its caller
   * has other calls in progress on the connection, or it costs much to handle.
   */
  readonly isSecondary?: boolean;
  /** Expected duration at an idle target of usual speed. */
  readonly work: number;
  /**
   * Whether `work` rests on recent outcomes of the route's calls; no call is refused because of a
   * duration that was assumed, or stored by another daemon.
   */
  readonly isWorkKnown: boolean;
  /** Time after which an answer is late: still wanted, but no longer fully useful. */
  readonly aimAt: number;
  /** Time at which the call is abandoned. */
  readonly deadline: number;
  /** Factor by which most calls of the route stay within the expected time. */
  readonly spread: number;
  /**
   * Whether it may be refused to its caller, because it was not sent to any target and is no trial.
   */
  readonly mayBeRefused: boolean;
}

/** Calls of a lower rank go first. */
const RANKS = {
  inTime: 0,
  /** It would be in time if it started now, but no capacity is reserved for it. */
  uncertain: 1,
  late: 2,
} as const;

type Rank = (typeof RANKS)[keyof typeof RANKS];

interface QueueEntry<C> {
  readonly call: C;
  /** Whether it was admitted as in time. */
  readonly isAdmittedInTime: boolean;
  /** Its rank when the entries were last sorted. */
  rank: Rank;
}

/** Numbers of calls that go before another one. */
interface AheadCounts {
  readonly inTime: number;
  readonly late: number;
}

/** Minimum time after which a refused caller may retry. */
const MIN_RETRY_DELAY_MS = 100;

/**
 * Retry times are spread over this share of the wait, so that refused callers don't return
 * together.
 */
const RETRY_JITTER = 0.5;

/**
 * Demand at which overload begins: calls that can be in time use this share of the possible starts.
 * It ends below that.
 */
const OVERLOAD_DEMAND = 0.95;

/**
 * Without an update of the outlook for this long, in milliseconds, no call has had to wait, so an
 * overload has ended. While calls wait there is one every few milliseconds.
 */
const MAX_OUTLOOK_AGE_MS = 200;

/** A queue of waiting calls. */
export class WaitQueue<C extends QueuedCall> {
  readonly #entries = new Map<C, QueueEntry<C>>();

  /** Arrivals of calls that can be in time. */
  readonly #arrivals = new ArrivalRate();

  #overloadStart: number | undefined;

  #pace = 0;

  #slowdown = 1;

  #opensAt = -Infinity;

  #updatedAt = -Infinity;

  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly random: Random,
  ) {}

  /** The number of waiting calls. */
  get size(): number {
    return this.#entries.size;
  }

  /** Records the arrival of a call, whether or not it will wait. */
  recordArrival(call: C): void {
    if (!this.#isLate(call)) this.#arrivals.record(this.clock.now());
  }

  /**
   * Updates the outlook.
   *
   * @param pace time between two starts while the resource is fully used, in milliseconds
   * @param slowdown how many times longer than usual calls take then
   * @param opensIn time until the first start, in milliseconds
   */
  updatePace(pace: number, slowdown: number, opensIn = 0): void {
    this.#pace = pace;
    this.#slowdown = slowdown;
    const now = this.clock.now();
    if (now - this.#updatedAt > MAX_OUTLOOK_AGE_MS) this.#overloadStart = undefined;
    this.#updatedAt = now;
    this.#opensAt = now + opensIn;
    if (this.#arrivals.read(now) * this.#pace < OVERLOAD_DEMAND) this.#overloadStart = undefined;
    else this.#overloadStart ??= now;
  }

  /** Returns the number of calls that go before a call that is admitted as in time. */
  countAhead(call: C): number {
    const { inTime, late } = this.#countAhead(call);
    return inTime + late;
  }

  /** Decides on a call that has just arrived and would have to wait. */
  judge(call: C): Admission {
    const outlook = this.#describeOutlook(this.#countAhead(call));
    const terms = this.#describeTerms(call);
    return this.#isLate(call) ? judgeLate(terms, outlook) : judgeArrival(terms, outlook);
  }

  /** Adds a call. @param isAdmittedInTime whether it goes with the calls in time */
  add(call: C, isAdmittedInTime: boolean): void {
    this.#entries.set(call, { call, isAdmittedInTime, rank: RANKS.uncertain });
  }

  /** Removes a call: it starts, its caller has left, or it is abandoned. Returns whether it waited. */
  remove(call: C): boolean {
    return this.#entries.delete(call);
  }

  /** Lists the calls in the order of their turns. */
  list(): readonly C[] {
    return this.#sortEntries().map(({ call }) => call);
  }

  /**
   * Removes the calls whose turn is not expected before their deadline; returns them with their
   * expected wait.
   *
   * @param isLimited whether calls wait for a rate limit or a back-off. The time of their turn is
   *   then known, whatever is known of their work, so repeats are removed as well
   */
  removeHopeless(isLimited = false): readonly { readonly call: C; readonly wait: number }[] {
    const ahead = { inTime: 0, late: 0 };
    const removed: { readonly call: C; readonly wait: number }[] = [];
    for (const entry of this.#sortEntries()) {
      const { call } = entry;
      if (entry.rank === RANKS.inTime) {
        ahead.inTime += 1;
        continue;
      }
      const admission = judgeLate(this.#describeTerms(call), this.#describeOutlook(ahead));
      const mayBeRefused = isLimited || (call.mayBeRefused && call.isWorkKnown);
      if (admission.kind === 'refuse' && mayBeRefused) {
        removed.push({ call, wait: admission.wait });
        this.remove(call);
      } else ahead.late += 1;
    }
    return removed;
  }

  /** Chooses the time after which a refused caller may retry: the wait plus a random part. */
  chooseRetryDelay(wait: number): number {
    return Math.max(MIN_RETRY_DELAY_MS, wait * (1 + RETRY_JITTER * this.random.next()));
  }

  #describeOutlook({ inTime, late }: AheadCounts): QueueOutlook {
    const now = this.clock.now();
    return {
      opensIn: Math.max(0, this.#opensAt - now),
      ...{ pace: this.#pace, inTimeAhead: inTime, lateAhead: late },
      demand: this.#arrivals.read(now) * this.#pace,
      overloadDuration: now - (this.#overloadStart ?? now),
    };
  }

  #describeTerms({ work, isWorkKnown, aimAt, deadline, spread }: C): WaitTerms {
    const duration = isWorkKnown ? work * this.#slowdown : 0;
    return { now: this.clock.now(), aimAt, deadline, duration, spread };
  }

  #isLate({ aimAt, work }: C, now = this.clock.now()): boolean {
    return now + work * this.#slowdown > aimAt;
  }

  /** Sorts the entries by turn; what the turn depends on is read once for each. */
  #sortEntries(): readonly QueueEntry<C>[] {
    const now = this.clock.now();
    const entries = [...this.#entries.values()];
    for (const entry of entries) entry.rank = this.#getRank(entry, now);
    return entries.length < 2
      ? entries
      : entries.sort((a, b) => rankCalls(a.call, a.rank, b.call, b.rank));
  }

  #getRank({ call, isAdmittedInTime }: QueueEntry<C>, now: number): Rank {
    if (this.#isLate(call, now)) return RANKS.late;
    return isAdmittedInTime ? RANKS.inTime : RANKS.uncertain;
  }

  #countAhead(call: C): AheadCounts {
    const now = this.clock.now();
    const ownRank = this.#isLate(call, now) ? RANKS.late : RANKS.inTime;
    const ahead = { inTime: 0, late: 0 };
    for (const entry of this.#entries.values()) {
      const rank = this.#getRank(entry, now);
      if (rankCalls(entry.call, rank, call, ownRank) > 0) continue;
      if (rank === RANKS.inTime) ahead.inTime += 1;
      else ahead.late += 1;
    }
    return ahead;
  }
}

/** Compares two calls by turn. */
function rankCalls(a: QueuedCall, rankA: Rank, b: QueuedCall, rankB: Rank): number {
  const urgency = rankA - rankB || a.priority - b.priority;
  if (urgency !== 0) return urgency;
  const isSecondary = a.isSecondary === true;
  if (isSecondary !== (b.isSecondary === true)) return isSecondary ? 1 : -1;
  return rankA === RANKS.late ? a.deadline - b.deadline : a.aimAt - b.aimAt;
}
