/** What targets may get from this daemon: the strictest of the rates that all daemons keep to together. */
import {
  type ColdLimits,
  type FleetShare,
  computeColdRate,
  computeOwnRate,
} from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
import type { GatewayTarget } from './target.js';

/** What is known of the cold targets of a service. */
export interface ColdStartLimits extends ColdLimits {
  /** For how long a target is cold, in milliseconds. */
  readonly duration: number;
}

/** What the rates follow from. */
export interface LocalRateLimitsOptions {
  readonly clock: Clock;
  readonly readColdStartLimits: () => ColdStartLimits;
  /** What this daemon stands for in the fleet. */
  readonly readShare: () => FleetShare;
}

/** Rates are worked out this often, in milliseconds. */
const REFRESH_INTERVAL_MS = 100;

/** The rates of the targets of one service. */
export class LocalRateLimits {
  #share: FleetShare = { part: 0, homes: [], self: '' };

  #shareReadAt = -Infinity;

  /** Those worked out since the share was. */
  readonly #rates = new Map<GatewayTarget, number>();

  constructor(private readonly options: LocalRateLimitsOptions) {}

  /** Whether a target has had what it takes from here. */
  isExhausted(target: GatewayTarget): boolean {
    const rate = this.read(target);
    return rate < Infinity && !target.rateLimiter.maySend(this.options.clock.now(), rate);
  }

  /** Calls a second that a target may get from here; Infinity where nothing limits it. */
  read(target: GatewayTarget): number {
    const now = this.options.clock.now();
    const advertised = target.advertisedRate.read(now);
    const isCold = target.warmUp.isCold(now);
    const ramp = target.availability.readRampRate(now);
    if (advertised === undefined && ramp === undefined && !isCold) return Infinity;
    const share = this.#readShare(now);
    const cached = this.#rates.get(target);
    if (cached !== undefined) return cached;
    const cold = isCold ? computeColdRate(this.options.readColdStartLimits()) : undefined;
    let lowest = ramp ?? Infinity;
    for (const shared of [advertised, cold]) {
      if (shared === undefined) continue;
      lowest = Math.min(lowest, computeOwnRate(shared, share, target.hash));
    }
    this.#rates.set(target, lowest);
    return lowest;
  }

  /** Works a rate out anew, as what it rests on has changed. */
  refresh(target: GatewayTarget): number {
    this.#rates.delete(target);
    return this.read(target);
  }

  #readShare(now: number): FleetShare {
    if (now - this.#shareReadAt < REFRESH_INTERVAL_MS) return this.#share;
    this.#shareReadAt = now;
    this.#rates.clear();
    this.#share = this.options.readShare();
    return this.#share;
  }
}
