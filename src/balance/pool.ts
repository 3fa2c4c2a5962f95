/** A pool in one entry: gives each call a slot at a target, queues it, or refuses it. */
import { type Clock, type Random, type Timer, assertInvariant } from '../kernel/index.js';
import type { ClassConfig } from '../config/index.js';
import type { Hold } from '../policy/index.js';
import { DecayingMean, QuantileEstimate } from './estimate.js';
import { CallQueue } from './queue.js';
import { type Chooser, type Strategy, createChooser, isBounded } from './strategy.js';
import type { AttemptEnd, Target } from './target.js';

/** A call that asks for a slot. */
export interface SlotRequest {
  readonly class: ClassConfig;
  readonly caller: string;
  readonly hold: Hold | undefined;
  /** When the call is abandoned, on the kernel's clock. */
  readonly deadline: number;
  readonly signal: AbortSignal;
  /** Whether the call may be repeated; other calls are not sent to a target on trial. */
  readonly repeatable: boolean;
  /** Targets that this call has tried; they are used only if no other is left. */
  readonly tried: ReadonlySet<Target>;
}

/** Why no slot was given. In each case nothing was sent to any target. */
export type RefusalReason =
  'no-target' | 'queue-full' | 'wait-too-long' | 'deadline' | 'cancelled' | 'stopping';

/** A slot at a target. It must be released exactly once. */
export interface Slot {
  readonly kind: 'slot';
  readonly target: Target;
  /** Time waited for the slot, in milliseconds. */
  readonly waited: number;
  /** Releases the slot. */
  release(end: AttemptEnd): void;
}

/** A refusal, and the time after which to retry, in milliseconds. */
export interface SlotRefusal {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  readonly retryAfter: number;
}

/** The result of asking for a slot. */
export type SlotResult = Slot | SlotRefusal;

/** Options of a {@link Pool}. */
export interface PoolOptions {
  readonly strategy: Strategy;
  readonly queueLimit: number;
  readonly clock: Clock;
  readonly random: Random;
}

interface QueuedRequest extends SlotRequest {
  readonly since: number;
  readonly resolve: (result: SlotResult) => void;
  timer: Timer | undefined;
}

/** The load of a pool in one entry. */
export interface PoolLoad {
  readonly busy: number;
  readonly waiting: number;
  readonly targets: number;
  readonly ready: number;
}

const SERVICE_TIME_HALF_LIFE_MS = 2000;
const INITIAL_SERVICE_TIME_MS = 20;
const MAX_EJECTED_SHARE = 0.5;
const HEDGE_QUANTILE = 0.95;
const MIN_RETRY_AFTER_MS = 50;
const PUMP_INTERVAL_MS = 25;

const SERVER_ERROR_STATUS = 500;

function isFailure(end: AttemptEnd): boolean {
  return end.kind === 'failed' || (end.kind === 'answered' && end.status >= SERVER_ERROR_STATUS);
}

/** A pool of targets with its queue. */
export class Pool {
  #targets: readonly Target[] = [];

  readonly #queue = new CallQueue<QueuedRequest>();

  readonly #callsByPolicy = new Map<string, number>();

  readonly #chooseTarget: Chooser;

  readonly #serviceTime = new DecayingMean(SERVICE_TIME_HALF_LIFE_MS);

  readonly #hedgeDelay = new QuantileEstimate(HEDGE_QUANTILE);

  readonly #isBounded: boolean;

  #isPumping = false;

  constructor(private readonly options: PoolOptions) {
    this.#chooseTarget = createChooser(options.strategy, options.random);
    this.#isBounded = isBounded(options.strategy);
  }

  /** The targets in use. */
  get targets(): readonly Target[] {
    return this.#targets;
  }

  /** The number of waiting calls. */
  get waiting(): number {
    return this.#queue.size;
  }

  /**
   * The 95th percentile of the time to an answer, in milliseconds; Infinity before the first
   * answer.
   */
  get hedgeDelay(): number {
    return this.#hedgeDelay.read(Infinity);
  }

  /** Replaces the targets. Calls in flight at a removed target continue there. */
  setTargets(targets: readonly Target[]): void {
    this.#targets = targets;
    this.pump();
  }

  /** Measures the load, for policies and the status. */
  readLoad(): PoolLoad {
    let slots = 0;
    let busy = 0;
    let ready = 0;
    for (const target of this.#targets) {
      const { limit } = target;
      slots += limit;
      busy += Math.min(limit, target.inFlight + target.otherInFlight);
      if (target.readState().kind === 'ready') ready += 1;
    }
    return {
      busy: slots === 0 ? 1 : busy / slots,
      waiting: this.#queue.size,
      targets: this.#targets.length,
      ready,
    };
  }

  /** Takes a free slot, or undefined: for hedges, which never wait. */
  takeFreeSlot(request: SlotRequest): Slot | undefined {
    if (this.#queue.size > 0) return undefined;
    const target = this.#findFreeTarget(request);
    if (target === undefined || request.tried.has(target)) return undefined;
    return this.#openSlot(request, target, this.options.clock.now());
  }

  /** Takes a slot, now or after waiting, or refuses the call. */
  async takeSlot(request: SlotRequest): Promise<SlotResult> {
    const now = this.options.clock.now();
    if (request.signal.aborted) return this.#refuse('cancelled');
    if (request.deadline <= now) return this.#refuse('deadline');
    if (!this.#hasUsableTarget()) return this.#refuse('no-target');
    if (this.#queue.size === 0 && this.#allowsHold(request.hold)) {
      const target = this.#findFreeTarget(request);
      if (target !== undefined) return this.#openSlot(request, target, now);
    }
    return this.#enqueue(request, now);
  }

  /** Gives free slots to waiting calls. */
  pump(): void {
    while (this.#queue.size > 0) {
      const hasFreeTarget = this.#targets.some((target) => this.#hasFreeSlot(target));
      if (!hasFreeTarget) return;
      const queued = this.#queue.take((hold) => this.#allowsHold(hold));
      if (queued === undefined) return;
      const target = this.#findFreeTarget(queued);
      assertInvariant(target !== undefined, 'a free slot is found for the call whose turn it is');
      queued.timer?.cancel();
      queued.resolve(this.#openSlot(queued, target, queued.since));
    }
  }

  #enqueue(request: SlotRequest, now: number): Promise<SlotResult> {
    const timeLeft = request.deadline - now;
    const maxWait = Math.min(request.class.wait, timeLeft);
    const expectedWait = this.#estimateWait(request);
    if (this.#queue.size >= this.options.queueLimit) {
      return Promise.resolve(this.#refuse('queue-full'));
    }
    if (expectedWait > maxWait) return Promise.resolve(this.#refuse('wait-too-long'));
    return new Promise((resolve) => {
      const queued: QueuedRequest = { ...request, since: now, resolve, timer: undefined };
      const giveUp = (reason: RefusalReason) => {
        if (!this.#queue.remove(queued)) return;
        queued.timer?.cancel();
        resolve(this.#refuse(reason));
      };
      const reason = maxWait < timeLeft ? 'wait-too-long' : 'deadline';
      queued.timer = this.options.clock.schedule(maxWait, () => giveUp(reason));
      request.signal.addEventListener('abort', () => giveUp('cancelled'), { once: true });
      this.#queue.add(queued);
      this.pump();
      this.#schedulePump();
    });
  }

  /**
   * Slots also become free without a release: a report expires, a target warms up or gets its
   * trial.
   */
  #schedulePump(): void {
    if (this.#isPumping || this.#queue.size === 0) return;
    this.#isPumping = true;
    this.options.clock.schedule(PUMP_INTERVAL_MS, () => {
      this.#isPumping = false;
      this.pump();
      this.#schedulePump();
    });
  }

  /** Estimates how long a call waits behind those of its class that go first, in milliseconds. */
  #estimateWait(request: SlotRequest): number {
    const slots = this.#countSlots();
    if (slots === 0) return 0;
    const position = this.#queue.countClass(request.class.name) + 1;
    return (position * this.#serviceTime.read(INITIAL_SERVICE_TIME_MS)) / slots;
  }

  #refuse(reason: RefusalReason): SlotRefusal {
    const load = this.#queue.size + 1;
    const slots = Math.max(1, this.#targets.length);
    const retryAfter = (load * this.#serviceTime.read(INITIAL_SERVICE_TIME_MS)) / slots;
    return { kind: 'refused', reason, retryAfter: Math.max(MIN_RETRY_AFTER_MS, retryAfter) };
  }

  #openSlot(request: SlotRequest, target: Target, requestedAt: number): Slot {
    const startedAt = this.options.clock.now();
    const { hold } = request;
    const hadFreeSlot = this.#hasFreeSlot(target);
    assertInvariant(hadFreeSlot, `calls in flight at ${target.name} stay within its limit`);
    target.start();
    this.#updateHoldCount(hold, 1);
    let isReleased = false;
    return {
      kind: 'slot',
      target,
      waited: startedAt - requestedAt,
      release: (end) => {
        assertInvariant(!isReleased, 'a slot is released once');
        isReleased = true;
        const latency = this.options.clock.now() - startedAt;
        target.finish(end, latency);
        this.#updateHoldCount(hold, -1);
        if (end.kind === 'answered') this.#recordLatency(latency);
        if (isFailure(end)) this.#clearEjectionsIfTooMany();
        this.pump();
      },
    };
  }

  #recordLatency(latency: number): void {
    this.#serviceTime.add(latency, this.options.clock.now());
    this.#hedgeDelay.add(latency);
  }

  #updateHoldCount(hold: Hold | undefined, step: number): void {
    if (hold === undefined) return;
    this.#callsByPolicy.set(hold.policy, (this.#callsByPolicy.get(hold.policy) ?? 0) + step);
  }

  #allowsHold(hold: Hold | undefined): boolean {
    if (hold === undefined) return true;
    const slots = this.#countSlots();
    return (this.#callsByPolicy.get(hold.policy) ?? 0) < Math.floor(hold.share * slots);
  }

  #countSlots(): number {
    let slots = 0;
    for (const target of this.#targets) slots += target.limit;
    return slots;
  }

  #hasUsableTarget(): boolean {
    return this.#targets.some((target) => target.limit > 0);
  }

  #hasFreeSlot(target: Target): boolean {
    const { limit } = target;
    if (limit === 0) return false;
    return !this.#isBounded || target.inFlight + target.otherInFlight < limit;
  }

  #findFreeTarget(request: SlotRequest): Target | undefined {
    const free = this.#targets.filter((target) => this.#hasFreeSlot(target));
    if (free.length === 0) return undefined;
    const preferred = free.filter(
      (target) =>
        !request.tried.has(target) && (request.repeatable || target.readState().kind !== 'trial'),
    );
    return this.#chooseTarget(preferred.length > 0 ? preferred : free, this.options.clock.now());
  }

  /** When most targets are ejected, a shared cause is more likely: all of them are used again. */
  #clearEjectionsIfTooMany(): void {
    const ejected = this.#targets.filter((target) => {
      const { kind } = target.readState();
      return kind === 'ejected' || kind === 'trial';
    });
    if (ejected.length <= this.#targets.length * MAX_EJECTED_SHARE) return;
    for (const target of ejected) target.clearEjection();
  }
}
