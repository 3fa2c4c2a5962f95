/**
 * The rate at which this daemon may send calls to each target: the lowest of its parts of the rates
 * that all daemons share and of the rate after a back-off.
 */
import {
  type ColdLimits,
  type FleetShare,
  computeColdRate,
  computeOwnRate,
} from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';
import type { GatewayTarget } from './target.js';

/** The rate limit and duration of a service's cold starts. */
export interface ColdStartLimits extends ColdLimits {
  /** How long a cold start lasts, in milliseconds. */
  readonly duration: number;
}

/** Options of the rate limits. */
export interface LocalRateLimitsOptions {
  readonly clock: Clock;
  readonly readColdStartLimits: () => ColdStartLimits;
  /** Returns this daemon's part of the fleet. */
  readonly readShare: () => FleetShare;
}

/** Rates are recomputed this often. */
const REFRESH_INTERVAL_MS = 100;

/** The rate limits of the targets of one service. */
export class LocalRateLimits {
  #share: FleetShare = { part: 0, homes: [], self: '' };

  #shareReadAt = -Infinity;

  /** Rates computed since this daemon's part was last read. */
  readonly #rates = new Map<GatewayTarget, number>();

  constructor(private readonly options: LocalRateLimitsOptions) {}

  /** Whether this daemon has used up what it may send to a target for now. */
  isExhausted(target: GatewayTarget): boolean {
    const rate = this.read(target);
    return rate < Infinity && !target.rateLimiter.maySend(this.options.clock.now(), rate);
  }

  /**
   * Returns the calls a second that this daemon may send to a target; Infinity when nothing limits
   * them.
   */
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

  /** Recomputes a target's rate after one of its inputs has changed. */
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
