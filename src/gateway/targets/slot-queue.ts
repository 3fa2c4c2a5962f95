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
  callsAhead: number,
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
const PUMP_INTERVAL_MS = 10;

/** When a caller may return that found no target: lists of targets change within a part of a second. */
const NO_TARGET_WAIT_MS = 250;

/** The queue of one service. */
export class SlotQueue {
  readonly #waiting: WaitQueue<SlotCall>;

  readonly #resolvers = new Map<SlotCall, (result: PlacementResult) => void>();

  #timer: Timer | undefined;

  /** What calls wait for besides slots. */
  #limitReason: LimitReason | undefined;

  /** When a call last had to wait. */
  lastWaitAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    random: Random,
    private readonly chooseTarget: TargetChooser,
  ) {
    this.#waiting = new WaitQueue(clock, random);
  }

  /** Calls that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Gives a target at once, or makes the call wait, or refuses it. */
  take(call: SlotCall): PlacementResult | Promise<PlacementResult> {
    this.#waiting.recordArrival(call);
    const callsAhead = this.#waiting.countAhead(call);
    const choice = this.chooseTarget(call, callsAhead);
    switch (choice.kind) {
      case 'none':
        return this.#refuseWithoutTarget(choice.wait);
      case 'now':
        return callsAhead === 0 ? this.#start(call, choice) : this.#wait(call, true);
      case 'wait': {
        this.#updatePace(call, choice);
        const admission = this.#waiting.judge(call);
        return this.#tryRefuse(call, admission) ?? this.#wait(call, admission.kind === 'in-time');
      }
      default:
        return choice satisfies never;
    }
  }

  /** Takes back a call that waits: its caller left, or its time is over. */
  remove(call: SlotCall): void {
    this.#waiting.remove(call);
    this.#resolvers.delete(call);
  }

  /** Serves those that wait, as far as there is room. */
  pump(): void {
    if (this.size === 0) return;
    for (const call of this.#waiting.list()) {
      const choice = this.chooseTarget(call, 0);
      if (choice.kind === 'wait') {
        this.#updatePace(call, choice);
        break;
      }
      if (choice.kind === 'now') this.#resolve(call, this.#start(call, choice));
      else this.#resolve(call, this.#refuseWithoutTarget(choice.wait));
    }
    this.#schedulePump();
  }

  #updatePace(
    { work }: SlotCall,
    { pace, slowdown, limit, opensIn }: Extract<ReturnType<TargetChooser>, { kind: 'wait' }>,
  ): void {
    this.#limitReason = limit;
    this.#waiting.updatePace(pace * work, slowdown, opensIn);
  }

  #resolve(call: SlotCall, result: PlacementResult): void {
    const resolve = this.#resolvers.get(call);
    this.remove(call);
    resolve?.(result);
  }

  /** Sends back those that wait in vain, as the outlook is now. */
  #refuseHopeless(): void {
    for (const { call, wait } of this.#waiting.removeHopeless(this.#limitReason !== undefined)) {
      this.#resolve(call, this.#refuse(wait));
    }
  }

  #refuse(wait: number): PlacementResult {
    const reason = this.#limitReason ?? 'no-room';
    return { kind: 'refused', reason, wait: this.#waiting.chooseRetryDelay(wait) };
  }

  #refuseWithoutTarget(wait: number | undefined): PlacementResult {
    if (wait === undefined)
      return { kind: 'refused', reason: 'no-target', wait: NO_TARGET_WAIT_MS };
    return { kind: 'refused', reason: 'backoff', wait: this.#waiting.chooseRetryDelay(wait) };
  }

  #tryRefuse(call: SlotCall, admission: Admission): PlacementResult | undefined {
    if (admission.kind !== 'refuse' || !call.isWorkKnown) return undefined;
    // A slot may free sooner than expected, so a repeat waits on for one; what targets take is known.
    if (!call.mayBeRefused && this.#limitReason === undefined) return undefined;
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
