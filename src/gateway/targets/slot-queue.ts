/** The queue of calls of one service that wait in this daemon for a free slot at a target. */
import {
  type Admission,
  type QueuedCall,
  type LimitReason,
  type TrialCall,
  WaitQueue,
} from '../../balance/index.js';
import type { Clock, Random, Timer } from '../../kernel/index.js';
import type { GatewayTarget } from './target.js';

/** The constraints of a call on the choice of its target. */
export interface PlacementRequest {
  /** Targets that it has been sent to already. */
  readonly tried: ReadonlySet<GatewayTarget>;
  /** How long the call takes at a typical idle target, in milliseconds. */
  readonly work: number;
  /** Length of its body in bytes, as far as known. */
  readonly bodyBytes: number;
  /** The regions in which it may run; undefined when it may run anywhere. */
  readonly regions?: readonly string[];
  /** The call as a trial of a target that has failed; undefined when it may not be one. */
  readonly trial?: TrialCall;
  /** Further constraints on a suspected poison request; undefined for other calls. */
  readonly suspect?: SuspectConstraints;
}

/** Constraints on a suspected poison request: a call whose target has ended while running it. */
export interface SuspectConstraints {
  /** Releases of targets that it is not sent to. */
  readonly avoidedReleases: readonly string[];
}

/**
 * A call that asks the queue for a target. While it waits, its estimates follow what is learned
 * meanwhile.
 */
export interface SlotCall extends PlacementRequest, QueuedCall {
  /**
   * Asked before the call is refused because of its work: whether it is sent all the same, as a
   * trial of the estimate.
   */
  readonly takeTrial: () => boolean;
}

/** The outcome of a request for a target. */
export type PlacementResult =
  /**
   * The call is already counted at the target. If it is not sent after all, the slot has to be
   * given back.
   */
  { readonly kind: 'target'; readonly target: GatewayTarget } | PlacementRefused;

/** A call that gets no target. */
export interface PlacementRefused {
  readonly kind: 'refused';
  readonly reason: PlacementRefusal;
  /** Time after which the caller may retry, in milliseconds. */
  readonly wait: number;
  /** What was expected of the call; undefined where nothing was estimated. */
  readonly forecast?: CallForecast;
}

/** What was expected of a call when it was refused. */
export interface CallForecast {
  /** Time until its turn, in milliseconds. */
  readonly turnIn: number;
  /** Slowdown of the target that it would have got. */
  readonly slowdown: number;
  /** Whether a target had a free slot. */
  readonly hasFreeSlot: boolean;
}

/**
 * Why a call gets no target: none is usable, none has a free slot in time, it would take too long
 * at the one that has, or those with free slots accept no more calls for now.
 */
export type PlacementRefusal = 'no-target' | 'no-room' | 'run-time' | LimitReason;

/**
 * Chooses a target for a call of the queue, or advises it to wait. `callsAhead` is the number of
 * calls that go first, `position` that of calls before a waiting call in the queue.
 */
export type TargetChooser = (
  call: SlotCall,
  callsAhead: number,
  position?: number,
) =>
  | {
      readonly kind: 'now';
      readonly candidate: GatewayTarget;
      readonly load: { readonly slowdown: number };
      readonly isTrial?: boolean;
    }
  /**
   * `pace` is the time between two starts in this daemon, as a multiple of a call's work;
   * `slowdown` is the mean of all targets.
   */
  | {
      readonly kind: 'wait';
      readonly pace: number;
      readonly slowdown: number;
      readonly limit?: LimitReason;
      readonly hasFreeSlot?: boolean;
      readonly startsAt?: number;
      readonly opensIn?: number;
    }
  | { readonly kind: 'none'; readonly wait?: number };

type StartAdvice = Extract<ReturnType<TargetChooser>, { kind: 'now' }>;

type WaitAdvice = Extract<ReturnType<TargetChooser>, { kind: 'wait' }>;

/**
 * How often waiting calls are reconsidered. Reports and ends of calls do so as well; this covers
 * the passing of time.
 */
const PUMP_INTERVAL_MS = 10;

/**
 * Retry delay for a caller when there is no target: the list of targets changes within a fraction
 * of a second.
 */
const NO_TARGET_WAIT_MS = 250;

/** The queue of one service in this daemon. */
export class SlotQueue {
  readonly #waiting: WaitQueue<SlotCall>;

  readonly #resolvers = new Map<SlotCall, (result: PlacementResult) => void>();

  #timer: Timer | undefined;

  /** The last advice to wait; undefined before the first. */
  #advice: WaitAdvice | undefined;

  /** When a call last had to wait, in milliseconds on this daemon's clock. */
  lastWaitAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    random: Random,
    private readonly chooseTarget: TargetChooser,
  ) {
    this.#waiting = new WaitQueue(clock, random);
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Returns a target at once, lets the call wait for one, or refuses it. */
  take(call: SlotCall): PlacementResult | Promise<PlacementResult> {
    this.#waiting.recordArrival(call);
    const callsAhead = this.#waiting.countAhead(call);
    const choice = this.chooseTarget(call, callsAhead);
    switch (choice.kind) {
      case 'none':
        return this.#refuseWithoutTarget(choice.wait);
      case 'now':
        // The calls ahead would not get the target of a trial.
        if (callsAhead === 0 || choice.isTrial === true) return this.#start(call, choice);
        return this.#wait(call, true);
      case 'wait': {
        this.#updatePace(call, choice);
        const admission = this.#waiting.judge(call);
        return this.#tryRefuse(call, admission) ?? this.#wait(call, admission.kind === 'in-time');
      }
      default:
        return choice satisfies never;
    }
  }

  /** Removes a waiting call, because its caller left or its deadline passed. */
  remove(call: SlotCall): void {
    this.#waiting.remove(call);
    this.#resolvers.delete(call);
  }

  /**
   * Starts waiting calls while targets have free slots. A free target that has failed may be too
   * dear for the first call and still be worth its risk for a call behind many.
   */
  pump(): void {
    if (this.size === 0) return;
    let position = 0;
    let startsAt = 0;
    for (const call of this.#waiting.list()) {
      if (position >= startsAt) {
        const choice = this.chooseTarget(call, 0, position);
        if (choice.kind === 'wait') {
          if (position === 0) this.#updatePace(call, choice);
          if (choice.startsAt === undefined) break;
          startsAt = choice.startsAt;
        } else if (choice.kind === 'none') {
          this.#resolve(call, this.#refuseWithoutTarget(choice.wait));
          continue;
        } else if (position === 0 || !this.#isTooSlow(call, choice)) {
          this.#resolve(call, this.#start(call, choice));
          continue;
        }
      }
      position += 1;
    }
    this.#schedulePump();
  }

  #updatePace({ work }: SlotCall, advice: WaitAdvice): void {
    this.#advice = advice;
    this.#waiting.updatePace(advice.pace * work, advice.slowdown, advice.opensIn);
  }

  /** What calls wait for besides a free slot. */
  get #limitReason(): LimitReason | undefined {
    return this.#advice?.limit;
  }

  #resolve(call: SlotCall, result: PlacementResult): void {
    const resolve = this.#resolvers.get(call);
    this.remove(call);
    resolve?.(result);
  }

  /** Refuses waiting calls that are not expected to be answered in time at the current pace. */
  #refuseHopeless(): void {
    for (const { call, wait } of this.#waiting.removeHopeless(this.#limitReason !== undefined)) {
      this.#resolve(call, this.#refuse(wait));
    }
  }

  #refuse(wait: number): PlacementResult {
    const { limit, slowdown = 1, hasFreeSlot = false } = this.#advice ?? {};
    return {
      ...{ kind: 'refused', reason: limit ?? 'no-room' },
      wait: this.#waiting.chooseRetryDelay(wait),
      forecast: { turnIn: wait, slowdown, hasFreeSlot },
    };
  }

  #refuseWithoutTarget(wait: number | undefined): PlacementResult {
    if (wait === undefined)
      return { kind: 'refused', reason: 'no-target', wait: NO_TARGET_WAIT_MS };
    return { kind: 'refused', reason: 'backoff', wait: this.#waiting.chooseRetryDelay(wait) };
  }

  #tryRefuse(call: SlotCall, admission: Admission): PlacementResult | undefined {
    if (admission.kind !== 'refuse') return undefined;
    // The end of a rate limit or a back-off is known.
    if (this.#limitReason !== undefined) return this.#refuse(admission.wait);
    // A slot may become free sooner than expected, so a retry keeps waiting for one.
    if (!call.mayBeRefused || !call.isWorkKnown || call.takeTrial()) return undefined;
    return this.#refuse(admission.wait);
  }

  /**
   * Starts a call that is expected to be answered while its caller waits. A call that would end too
   * late would waste a slot; it is refused instead, with the work of a call as retry delay. Counts
   * the call at once, so that the next one sees the slot taken.
   */
  #start(call: SlotCall, choice: StartAdvice): PlacementResult {
    const { candidate, load } = choice;
    if (this.#isTooSlow(call, choice) && !call.takeTrial()) {
      return {
        ...{ kind: 'refused', reason: 'run-time' },
        // The slowdown of the free targets does not tell when a fast target becomes free, so it is
        // left out of the delay.
        wait: this.#waiting.chooseRetryDelay(call.work),
        forecast: { turnIn: 0, slowdown: load.slowdown, hasFreeSlot: true },
      };
    }
    candidate.start(this.clock.now());
    return { kind: 'target', target: candidate };
  }

  /** Whether a call that may be refused is not expected to be answered in time by a target. */
  #isTooSlow(call: SlotCall, { load }: StartAdvice): boolean {
    const duration = call.work * load.slowdown * call.spread;
    return call.mayBeRefused && this.clock.now() + duration > call.deadline;
  }

  #wait(call: SlotCall, isInTime: boolean): Promise<PlacementResult> {
    this.lastWaitAt = this.clock.now();
    return new Promise((resolve) => {
      this.#waiting.add(call, isInTime);
      this.#resolvers.set(call, resolve);
      this.#schedulePump();
    });
  }

  #schedulePump(): void {
    if (this.#timer !== undefined || this.size === 0) return;
    this.#timer = this.clock.schedule(PUMP_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.pump();
      this.#refuseHopeless();
    });
  }
}
