/**
 * Calls of one service that wait in this daemon for a target.
 *
 * Those that were let in to be in time go first, the more urgent before the others and then the one whose
 * time runs out first; those that may be late, and then those that are, take what is left over. Whether a call waits at all is judged when it
 * arrives and again as the outlook changes.
 */
import {
  ArrivalRate,
  type QueueOutlook,
  type Admission,
  type WaitTerms,
  judgeArrival,
  judgeLate,
} from '../balance/index.js';
import type { Clock, Random, Timer } from '../kernel/index.js';
import type { GatewayTarget } from './target.js';

/** What a call asks of its place. */
export interface PlaceWish {
  /** Targets that it has been sent to already. */
  readonly tried: ReadonlySet<GatewayTarget>;
  /** Length of its body, as far as it is known. */
  readonly bodyBytes: number;
}

/** A call that asks for a target. */
export interface SlotCall extends PlaceWish {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** How long the call takes at a usual, idle target, in milliseconds. */
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

/** What came of asking. */
export type SlotAnswer =
  /** The call is counted there already; whoever does not send it gives the slot back. */
  | { readonly kind: 'target'; readonly target: GatewayTarget }
  /** `wait` is the time after which the caller may return, in milliseconds. */
  | { readonly kind: 'refused'; readonly reason: 'no-target' | 'no-room'; readonly wait: number };

/** What a queue asks for each call in turn. */
export type SlotAdviser = (
  call: SlotCall,
  ahead: number,
) =>
  | {
      readonly kind: 'now';
      readonly candidate: GatewayTarget;
      readonly prospect: { readonly slowdown: number };
    }
  /** `pace` lies between two starts here, `slowdown` is that of the targets on the whole. */
  | { readonly kind: 'wait'; readonly pace: number; readonly slowdown: number }
  | { readonly kind: 'none' };

/** Calls of a lower rank go first. */
const RANKS = {
  inTime: 0,
  /** It would be in time if its turn came now; nothing is kept free for it. */
  unsure: 1,
  late: 2,
} as const;

type Rank = (typeof RANKS)[keyof typeof RANKS];

interface WaitingCall {
  readonly call: SlotCall;
  /** Whether it was let in among those that can be in time. */
  readonly isSure: boolean;
  readonly resolve: (answer: SlotAnswer) => void;
}

/** Reports and ends of calls wake the queue; this is for time that passes without any. */
const PUMP_PACE = 10;

/** A caller that is sent back may return after this long at the earliest, in milliseconds. */
const LEAST_RETURN = 100;

/** Callers return spread over this part of the wait, so that they don't meet again. */
const RETURN_SPREAD = 0.5;

/** When a caller may return that found no target: lists of targets change within a part of a second. */
const NO_TARGET_RETURN = 250;

/** Overload begins when calls that can be in time fill this part of the starts, and ends below it. */
const OVERLOAD = 0.95;

/** The queue of one service. */
export class SlotQueue {
  #waiting: readonly WaitingCall[] = [];

  #timer: Timer | undefined;

  /** Arrivals of calls that can be in time. */
  readonly #arrivals = new ArrivalRate();

  #overloadedSince: number | undefined;

  /** The last advice to wait: time between two starts, and slowdown. */
  #pace = 0;

  #slowdown = 1;

  /** When a call last had to wait. */
  waitedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly adviser: SlotAdviser,
  ) {}

  /** Calls that wait. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Gives a target at once, or makes the call wait, or refuses it. */
  take(call: SlotCall): SlotAnswer | Promise<SlotAnswer> {
    if (!this.#isLate(call)) this.#arrivals.note(this.clock.now());
    const ahead = this.#countAhead(call);
    const advice = this.adviser(call, ahead.inTime + ahead.late);
    switch (advice.kind) {
      case 'none':
        return { kind: 'refused', reason: 'no-target', wait: NO_TARGET_RETURN };
      case 'now':
        return ahead.inTime + ahead.late === 0 ? this.#start(call, advice) : this.#wait(call, true);
      case 'wait': {
        this.#noteAdvice(call, advice);
        const outlook = this.#describeOutlook(ahead);
        const terms = this.#describeTerms(call);
        const admission = this.#isLate(call)
          ? judgeLate(terms, outlook)
          : judgeArrival(terms, outlook);
        return this.#follow(call, admission) ?? this.#wait(call, admission.kind === 'in-time');
      }
      default:
        return advice satisfies never;
    }
  }

  /** Takes back a call that waits: its caller left, or its time is over. */
  leave(call: SlotCall): void {
    this.#waiting = this.#waiting.filter((waiting) => waiting.call !== call);
  }

  /** Serves those that wait, as far as there is room. */
  pump(): void {
    if (this.#waiting.length === 0) return;
    const kept: WaitingCall[] = [];
    const ordered = this.#order();
    this.#waiting = [];
    let isBlocked = false;
    for (const waiting of ordered) {
      if (isBlocked) {
        kept.push(waiting);
        continue;
      }
      const advice = this.adviser(waiting.call, kept.length);
      if (advice.kind === 'now') waiting.resolve(this.#start(waiting.call, advice));
      else if (advice.kind === 'none') {
        waiting.resolve({ kind: 'refused', reason: 'no-target', wait: NO_TARGET_RETURN });
      } else {
        this.#noteAdvice(waiting.call, advice);
        isBlocked = true;
        kept.push(waiting);
      }
    }
    this.#waiting = [...kept, ...this.#waiting];
    this.#pumpLater();
  }

  /** Sends back those that wait in vain, as the outlook is now. */
  #review(): void {
    const ahead = { inTime: 0, late: 0 };
    const kept: WaitingCall[] = [];
    const ordered = this.#order();
    for (const waiting of ordered) {
      const { call, resolve } = waiting;
      const hasTurn = this.#rank(waiting) === RANKS.inTime;
      const refusal = !hasTurn
        ? this.#follow(call, judgeLate(this.#describeTerms(call), this.#describeOutlook(ahead)))
        : undefined;
      if (refusal !== undefined) {
        resolve(refusal);
        continue;
      }
      kept.push(waiting);
      if (hasTurn) ahead.inTime += 1;
      else ahead.late += 1;
    }
    this.#waiting = kept;
  }

  #follow(call: SlotCall, admission: Admission): SlotAnswer | undefined {
    if (admission.kind !== 'refuse' || !call.mayBeRefused || !call.isWorkKnown) return undefined;
    return { kind: 'refused', reason: 'no-room', wait: this.#chooseReturn(admission.wait) };
  }

  #noteAdvice(
    { work }: SlotCall,
    { pace, slowdown }: { readonly pace: number; readonly slowdown: number },
  ): void {
    this.#pace = pace * work;
    this.#slowdown = slowdown;
    const now = this.clock.now();
    if (this.#arrivals.read(now) * this.#pace < OVERLOAD) this.#overloadedSince = undefined;
    else this.#overloadedSince ??= now;
  }

  #describeOutlook({ inTime, late }: { inTime: number; late: number }): QueueOutlook {
    const now = this.clock.now();
    return {
      ...{ pace: this.#pace, ahead: inTime, lateAhead: late },
      demand: this.#arrivals.read(now) * this.#pace,
      overloadAge: now - (this.#overloadedSince ?? now),
    };
  }

  #describeTerms({ work, aimAt, deadline, spread }: SlotCall): WaitTerms {
    const duration = work * this.#slowdown;
    return { now: this.clock.now(), aimAt, deadline, duration, spread };
  }

  /**
   * Starts a call that is expected to be answered while its caller waits; one that would end too late
   * takes a slot for nothing and is told so instead. Counts the call at once, so that the next one that
   * asks finds the slot taken.
   */
  #start(
    call: SlotCall,
    { candidate, prospect }: Extract<ReturnType<SlotAdviser>, { kind: 'now' }>,
  ): SlotAnswer {
    const now = this.clock.now();
    const duration = call.work * prospect.slowdown * call.spread;
    if (call.mayBeRefused && call.isWorkKnown && now + duration > call.deadline) {
      return { kind: 'refused', reason: 'no-room', wait: this.#chooseReturn(duration) };
    }
    candidate.belief.start(now);
    return { kind: 'target', target: candidate };
  }

  /** Chooses when a caller may return: after the wait, and not together with others. */
  #chooseReturn(wait: number): number {
    return Math.max(LEAST_RETURN, wait * (1 + RETURN_SPREAD * this.random.next()));
  }

  #wait(call: SlotCall, isSure: boolean): Promise<SlotAnswer> {
    this.waitedAt = this.clock.now();
    return new Promise((resolve) => {
      this.#waiting = [...this.#waiting, { call, isSure, resolve }];
      this.#pumpLater();
    });
  }

  #pumpLater(): void {
    if (this.#timer !== undefined || this.#waiting.length === 0) return;
    this.#timer = this.clock.schedule(PUMP_PACE, () => {
      this.#timer = undefined;
      this.pump();
      this.#review();
    });
  }

  #isLate({ aimAt, work }: SlotCall): boolean {
    return this.clock.now() + work * this.#slowdown > aimAt;
  }

  /** The calls that wait, in the order of their turns. */
  #order(): readonly WaitingCall[] {
    if (this.#waiting.length < 2) return this.#waiting;
    return [...this.#waiting].sort((a, b) => this.#compare(a, b));
  }

  #rank({ call, isSure }: Pick<WaitingCall, 'call' | 'isSure'>): Rank {
    if (this.#isLate(call)) return RANKS.late;
    return isSure ? RANKS.inTime : RANKS.unsure;
  }

  #compare(
    a: Pick<WaitingCall, 'call' | 'isSure'>,
    b: Pick<WaitingCall, 'call' | 'isSure'>,
  ): number {
    const rank = this.#rank(a);
    const urgency = rank - this.#rank(b) || a.call.priority - b.call.priority;
    if (urgency !== 0) return urgency;
    return rank === RANKS.late ? a.call.deadline - b.call.deadline : a.call.aimAt - b.call.aimAt;
  }

  /** Counts those that go before a call if it is let in to be in time. */
  #countAhead(call: SlotCall): { inTime: number; late: number } {
    const ahead = { inTime: 0, late: 0 };
    for (const waiting of this.#waiting) {
      if (this.#compare(waiting, { call, isSure: true }) > 0) continue;
      if (this.#rank(waiting) === RANKS.inTime) ahead.inTime += 1;
      else ahead.late += 1;
    }
    return ahead;
  }
}
