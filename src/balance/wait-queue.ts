/**
 * A line of calls that wait for one thing: a free slot at the targets, or this daemon's own processor.
 *
 * Those that were let in to be in time go first, the more urgent before the others and then the one whose
 * time runs out first; those that may be late, and then those that are, take what is left over. Whether a
 * call waits at all is judged when it arrives and again as the outlook changes.
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

/** A call that may wait in a line. Times are in milliseconds. */
export interface QueuedCall {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** How long the call takes at a usual, idle target. */
  readonly work: number;
  /** Whether calls of its route have taught that; nothing is sent back for a guess. */
  readonly isWorkKnown: boolean;
  /** When an answer stops to be fully useful. */
  readonly aimAt: number;
  /** When the call is given up. */
  readonly deadline: number;
  /** Most calls of its route run no longer than this many times the expected time. */
  readonly spread: number;
  /** Whether it may be sent back to its caller, because no target has had it. */
  readonly mayBeRefused: boolean;
}

/** Calls of a lower rank go first. */
const RANKS = {
  inTime: 0,
  /** It would be in time if its turn came now; nothing is kept free for it. */
  uncertain: 1,
  late: 2,
} as const;

type Rank = (typeof RANKS)[keyof typeof RANKS];

interface QueueEntry<C> {
  readonly call: C;
  /** Whether it was let in among those that can be in time. */
  readonly isAdmittedInTime: boolean;
}

/** Calls that go before another one. */
interface AheadCounts {
  readonly inTime: number;
  readonly late: number;
}

/** A caller that is sent back may return after this long at the earliest, in milliseconds. */
const MIN_RETRY_DELAY_MS = 100;

/** Callers return spread over this part of the wait, so that they don't meet again. */
const RETRY_JITTER = 0.5;

/** Overload begins when calls that can be in time fill this part of the starts, and ends below it. */
const OVERLOAD_DEMAND = 0.95;

/** One line. */
export class WaitQueue<C extends QueuedCall> {
  readonly #entries = new Map<C, QueueEntry<C>>();

  /** Arrivals of calls that can be in time. */
  readonly #arrivals = new ArrivalRate();

  #overloadStart: number | undefined;

  #pace = 0;

  #slowdown = 1;

  #opensAt = -Infinity;

  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly random: Random,
  ) {}

  /** Calls that wait. */
  get size(): number {
    return this.#entries.size;
  }

  /** Notes that a call arrives, whether or not it will wait. */
  recordArrival(call: C): void {
    if (!this.#isLate(call)) this.#arrivals.record(this.clock.now());
  }

  /**
   * Takes the time between two starts while all is busy, and how many times longer calls take then.
   *
   * @param opensIn time until the first start, in milliseconds
   */
  updatePace(pace: number, slowdown: number, opensIn = 0): void {
    this.#pace = pace;
    this.#slowdown = slowdown;
    const now = this.clock.now();
    this.#opensAt = now + opensIn;
    if (this.#arrivals.read(now) * this.#pace < OVERLOAD_DEMAND) this.#overloadStart = undefined;
    else this.#overloadStart ??= now;
  }

  /** Counts those that go before a call if it is let in to be in time. */
  countAhead(call: C): number {
    const { inTime, late } = this.#countAhead(call);
    return inTime + late;
  }

  /** Judges a call that has just come and would have to wait. */
  judge(call: C): Admission {
    const outlook = this.#describeOutlook(this.#countAhead(call));
    const terms = this.#describeTerms(call);
    return this.#isLate(call) ? judgeLate(terms, outlook) : judgeArrival(terms, outlook);
  }

  /** Lets a call in. @param isAdmittedInTime whether among those that can be in time */
  add(call: C, isAdmittedInTime: boolean): void {
    this.#entries.set(call, { call, isAdmittedInTime });
  }

  /** Takes a call out: its turn has come, its caller has left, or its time is over. */
  remove(call: C): void {
    this.#entries.delete(call);
  }

  /** The calls in the order of their turns. */
  list(): readonly C[] {
    return this.#sortEntries().map(({ call }) => call);
  }

  /**
   * Takes out the calls that wait in vain, as the outlook is now, with the wait that each would have.
   *
   * @param includeRepeats whether also those that a target has had before
   */
  removeHopeless(includeRepeats = false): readonly { readonly call: C; readonly wait: number }[] {
    const ahead = { inTime: 0, late: 0 };
    const removed: { readonly call: C; readonly wait: number }[] = [];
    for (const entry of this.#sortEntries()) {
      const { call } = entry;
      if (this.#getRank(entry) === RANKS.inTime) {
        ahead.inTime += 1;
        continue;
      }
      const admission = judgeLate(this.#describeTerms(call), this.#describeOutlook(ahead));
      const mayBeRefused = includeRepeats || call.mayBeRefused;
      if (admission.kind === 'refuse' && mayBeRefused && call.isWorkKnown) {
        removed.push({ call, wait: admission.wait });
        this.remove(call);
      } else ahead.late += 1;
    }
    return removed;
  }

  /** Chooses when a caller may return: after the wait, and not together with others. */
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

  #describeTerms({ work, aimAt, deadline, spread }: C): WaitTerms {
    const duration = work * this.#slowdown;
    return { now: this.clock.now(), aimAt, deadline, duration, spread };
  }

  #isLate({ aimAt, work }: C): boolean {
    return this.clock.now() + work * this.#slowdown > aimAt;
  }

  #sortEntries(): readonly QueueEntry<C>[] {
    const entries = [...this.#entries.values()];
    return entries.length < 2 ? entries : entries.sort((a, b) => this.#compareEntries(a, b));
  }

  #getRank({ call, isAdmittedInTime }: QueueEntry<C>): Rank {
    if (this.#isLate(call)) return RANKS.late;
    return isAdmittedInTime ? RANKS.inTime : RANKS.uncertain;
  }

  #compareEntries(a: QueueEntry<C>, b: QueueEntry<C>): number {
    const rank = this.#getRank(a);
    const urgency = rank - this.#getRank(b) || a.call.priority - b.call.priority;
    if (urgency !== 0) return urgency;
    return rank === RANKS.late ? a.call.deadline - b.call.deadline : a.call.aimAt - b.call.aimAt;
  }

  #countAhead(call: C): AheadCounts {
    const ahead = { inTime: 0, late: 0 };
    for (const entry of this.#entries.values()) {
      if (this.#compareEntries(entry, { call, isAdmittedInTime: true }) > 0) continue;
      if (this.#getRank(entry) === RANKS.inTime) ahead.inTime += 1;
      else ahead.late += 1;
    }
    return ahead;
  }
}
