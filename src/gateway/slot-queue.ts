/**
 * Calls of one service that wait in this daemon for a target.
 *
 * Those that can still be answered within their route's aim go first, the more urgent before the
 * others and then the one whose time runs out first; those that are late already go last.
 */
import type { Clock, Timer } from '../kernel/index.js';
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
  /** When an answer stops to be fully useful. */
  readonly aimAt: number;
  /** How long the call takes at a usual, idle target, in milliseconds. */
  readonly usualTime: number;
  /** Whether it may be sent back to its caller, because no target has had it. */
  readonly mayBeRefused: boolean;
  /** When it has waited for so long that it is better sent back. */
  readonly refusedAt: number;
}

/** What came of asking. */
export type SlotAnswer =
  /** The call is counted there already; whoever does not send it gives the slot back. */
  | { readonly kind: 'target'; readonly target: GatewayTarget }
  | { readonly kind: 'refused'; readonly reason: 'no-target' | 'no-room'; readonly wait: number };

/** What a queue asks for each call in turn. */
export type SlotAdviser = (
  call: SlotCall,
  ahead: number,
) =>
  | { readonly kind: 'now'; readonly candidate: GatewayTarget }
  | { readonly kind: 'wait'; readonly time: number }
  | { readonly kind: 'none' };

interface WaitingCall extends SlotCall {
  readonly resolve: (answer: SlotAnswer) => void;
}

/** Reports and ends of calls wake the queue; this is for time that passes without any. */
const PUMP_PACE = 10;

/** A caller that is sent back may return after this long at the earliest, in milliseconds. */
const LEAST_RETURN = 100;

/** The queue of one service. */
export class SlotQueue {
  #waiting: readonly WaitingCall[] = [];

  #timer: Timer | undefined;

  /** When a call last had to wait. */
  waitedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly adviser: SlotAdviser,
  ) {}

  /** Calls that wait. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Gives a target at once, or makes the call wait, or refuses it. */
  take(call: SlotCall): SlotAnswer | Promise<SlotAnswer> {
    const ahead = this.#countAhead(call);
    const advice = this.adviser(call, ahead);
    switch (advice.kind) {
      case 'none':
        return { kind: 'refused', reason: 'no-target', wait: 0 };
      case 'now':
        return ahead === 0 ? this.#grant(advice.candidate) : this.#wait(call);
      case 'wait': {
        const wait = advice.time * call.usualTime;
        const isLate = this.clock.now() + wait + call.usualTime > call.aimAt;
        if (isLate && call.mayBeRefused) return this.#refuse(wait);
        return this.#wait(call);
      }
      default:
        return advice satisfies never;
    }
  }

  /** Takes back a call that waits: its caller left, or its time is over. */
  leave(call: SlotCall): void {
    this.#waiting = this.#waiting.filter((waiting) => waiting.tried !== call.tried);
  }

  /** Serves those that wait, as far as there is room. */
  pump(): void {
    if (this.#waiting.length === 0) return;
    const kept: WaitingCall[] = [];
    const ordered = [...this.#waiting].sort((a, b) => this.#compare(a, b));
    this.#waiting = [];
    let isBlocked = false;
    for (const call of ordered) {
      const advice = isBlocked ? undefined : this.adviser(call, kept.length);
      if (advice?.kind === 'now') {
        call.resolve(this.#grant(advice.candidate));
        continue;
      }
      if (advice?.kind === 'none') {
        call.resolve({ kind: 'refused', reason: 'no-target', wait: 0 });
        continue;
      }
      isBlocked = true;
      if (call.mayBeRefused && this.clock.now() > call.refusedAt) call.resolve(this.#refuse(0));
      else kept.push(call);
    }
    this.#waiting = [...kept, ...this.#waiting];
    this.#pumpLater();
  }

  #refuse(wait: number): SlotAnswer {
    return { kind: 'refused', reason: 'no-room', wait: Math.max(LEAST_RETURN, wait) };
  }

  /** Counts the call at once, so that the next one that asks finds the slot taken. */
  #grant(target: GatewayTarget): SlotAnswer {
    target.belief.start(this.clock.now());
    return { kind: 'target', target };
  }

  #wait(call: SlotCall): Promise<SlotAnswer> {
    this.waitedAt = this.clock.now();
    return new Promise((resolve) => {
      this.#waiting = [...this.#waiting, { ...call, resolve }];
      this.#pumpLater();
    });
  }

  #pumpLater(): void {
    if (this.#timer !== undefined || this.#waiting.length === 0) return;
    this.#timer = this.clock.schedule(PUMP_PACE, () => {
      this.#timer = undefined;
      this.pump();
    });
  }

  #isLate(call: SlotCall): boolean {
    return this.clock.now() + call.usualTime > call.aimAt;
  }

  #compare(a: SlotCall, b: SlotCall): number {
    const late = Number(this.#isLate(a)) - Number(this.#isLate(b));
    return late || a.priority - b.priority || a.aimAt - b.aimAt;
  }

  #countAhead(call: SlotCall): number {
    let ahead = 0;
    for (const waiting of this.#waiting) {
      if (this.#compare(waiting, call) <= 0) ahead += 1;
    }
    return ahead;
  }
}
