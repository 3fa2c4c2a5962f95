/** Calls of one service that wait in this daemon for a target. */
import {
  type Admission,
  type QueuedCall,
  type LimitReason,
  WaitQueue,
} from '../../balance/index.js';
import type { Clock, Random, Timer } from '../../kernel/index.js';
import type { GatewayTarget } from './target.js';

/** What a call asks of its place. */
export interface PlacementRequest {
  /** Targets that it has been sent to already. */
  readonly tried: ReadonlySet<GatewayTarget>;
  /** How long the call takes at a usual, idle target, in milliseconds. */
  readonly work: number;
  /** Length of its body, as far as it is known. */
  readonly bodyBytes: number;
  /** The regions in which it may run; undefined where it may run anywhere. */
  readonly regions?: readonly string[];
  /** How carefully it has to be placed, because a target has ended under it; undefined when none has. */
  readonly suspect?: SuspectConstraints;
}

/** What a suspect asks of its place. */
export interface SuspectConstraints {
  /** Releases of targets that it is not sent to. */
  readonly avoidedReleases: readonly string[];
}

/** A call that asks for a target. */
export interface SlotCall extends PlacementRequest, QueuedCall {}

/** What came of asking. */
export type PlacementResult =
  /** The call is counted there already; whoever does not send it gives the slot back. */
  | { readonly kind: 'target'; readonly target: GatewayTarget }
  /** `wait` is the time after which the caller may return, in milliseconds. */
  | { readonly kind: 'refused'; readonly reason: PlacementRefusal; readonly wait: number };

/** Why no target is found: none is there, none has a slot in time, or those that have one take no more for now. */
export type PlacementRefusal = 'no-target' | 'no-room' | LimitReason;

/** What a queue asks for each call in turn. */
export type TargetChooser = (
  call: SlotCall,
  ahead: number,
) =>
  | {
      readonly kind: 'now';
      readonly candidate: GatewayTarget;
      readonly load: { readonly slowdown: number };
    }
  /** `pace` lies between two starts here, `slowdown` is that of the targets on the whole. */
  | {
      readonly kind: 'wait';
      readonly pace: number;
      readonly slowdown: number;
      readonly limit?: LimitReason;
      readonly opensIn?: number;
    }
  | { readonly kind: 'none'; readonly wait?: number };

/** Reports and ends of calls wake the queue; this is for time that passes without any. */
const PUMP_PACE = 10;

/** When a caller may return that found no target: lists of targets change within a part of a second. */
const NO_TARGET_RETURN = 250;

/** The queue of one service. */
export class SlotQueue {
  readonly #line: WaitQueue<SlotCall>;

  readonly #resolvers = new Map<SlotCall, (answer: PlacementResult) => void>();

  #timer: Timer | undefined;

  /** What calls wait for besides slots. */
  #limit: LimitReason | undefined;

  /** When a call last had to wait. */
  lastWaitAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    random: Random,
    private readonly adviser: TargetChooser,
  ) {
    this.#line = new WaitQueue(clock, random);
  }

  /** Calls that wait. */
  get size(): number {
    return this.#line.size;
  }

  /** Gives a target at once, or makes the call wait, or refuses it. */
  take(call: SlotCall): PlacementResult | Promise<PlacementResult> {
    this.#line.recordArrival(call);
    const ahead = this.#line.countAhead(call);
    const advice = this.adviser(call, ahead);
    switch (advice.kind) {
      case 'none':
        return this.#refuseNone(advice.wait);
      case 'now':
        return ahead === 0 ? this.#start(call, advice) : this.#wait(call, true);
      case 'wait': {
        this.#noteWait(call, advice);
        const admission = this.#line.judge(call);
        return this.#follow(call, admission) ?? this.#wait(call, admission.kind === 'in-time');
      }
      default:
        return advice satisfies never;
    }
  }

  /** Takes back a call that waits: its caller left, or its time is over. */
  remove(call: SlotCall): void {
    this.#line.remove(call);
    this.#resolvers.delete(call);
  }

  /** Serves those that wait, as far as there is room. */
  pump(): void {
    if (this.size === 0) return;
    for (const call of this.#line.list()) {
      const advice = this.adviser(call, 0);
      if (advice.kind === 'wait') {
        this.#noteWait(call, advice);
        break;
      }
      if (advice.kind === 'now') this.#answer(call, this.#start(call, advice));
      else this.#answer(call, this.#refuseNone(advice.wait));
    }
    this.#pumpLater();
  }

  #noteWait(
    { work }: SlotCall,
    { pace, slowdown, limit, opensIn }: Extract<ReturnType<TargetChooser>, { kind: 'wait' }>,
  ): void {
    this.#limit = limit;
    this.#line.updatePace(pace * work, slowdown, opensIn);
  }

  #answer(call: SlotCall, answer: PlacementResult): void {
    const resolve = this.#resolvers.get(call);
    this.remove(call);
    resolve?.(answer);
  }

  /** Sends back those that wait in vain, as the outlook is now. */
  #review(): void {
    for (const { call, wait } of this.#line.removeHopeless(this.#limit !== undefined)) {
      this.#answer(call, this.#refuse(wait));
    }
  }

  #refuse(wait: number): PlacementResult {
    const reason = this.#limit ?? 'no-room';
    return { kind: 'refused', reason, wait: this.#line.chooseRetryDelay(wait) };
  }

  #refuseNone(wait: number | undefined): PlacementResult {
    if (wait === undefined) return { kind: 'refused', reason: 'no-target', wait: NO_TARGET_RETURN };
    return { kind: 'refused', reason: 'backoff', wait: this.#line.chooseRetryDelay(wait) };
  }

  #follow(call: SlotCall, admission: Admission): PlacementResult | undefined {
    if (admission.kind !== 'refuse' || !call.isWorkKnown) return undefined;
    // A slot may free sooner than expected, so a repeat waits on for one; what targets take is known.
    if (!call.mayBeRefused && this.#limit === undefined) return undefined;
    return this.#refuse(admission.wait);
  }

  /**
   * Starts a call that is expected to be answered while its caller waits; one that would end too late
   * takes a slot for nothing and is told so instead, with the time of a usual call. Counts the call at once,
   * so that the next one that asks finds the slot taken.
   */
  #start(
    call: SlotCall,
    { candidate, load }: Extract<ReturnType<TargetChooser>, { kind: 'now' }>,
  ): PlacementResult {
    const now = this.clock.now();
    const duration = call.work * load.slowdown * call.spread;
    if (call.mayBeRefused && call.isWorkKnown && now + duration > call.deadline) {
      // How slow the free ones are says nothing of when a quick one has ended its call.
      return this.#refuse(call.work);
    }
    candidate.start(now);
    return { kind: 'target', target: candidate };
  }

  #wait(call: SlotCall, isSure: boolean): Promise<PlacementResult> {
    this.lastWaitAt = this.clock.now();
    return new Promise((resolve) => {
      this.#line.add(call, isSure);
      this.#resolvers.set(call, resolve);
      this.#pumpLater();
    });
  }

  #pumpLater(): void {
    if (this.#timer !== undefined || this.size === 0) return;
    this.#timer = this.clock.schedule(PUMP_PACE, () => {
      this.#timer = undefined;
      this.pump();
      this.#review();
    });
  }
}
