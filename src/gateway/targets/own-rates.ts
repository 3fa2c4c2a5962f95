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
export interface Coldness extends ColdLimits {
  /** For how long a target is cold, in milliseconds. */
  readonly time: number;
}

/** What the rates follow from. */
export interface OwnRatesOptions {
  readonly clock: Clock;
  readonly readColdness: () => Coldness;
  /** What this daemon stands for in the fleet. */
  readonly readShare: () => FleetShare;
}

/** Rates are worked out this often, in milliseconds. */
const PACE = 100;

/** The rates of the targets of one service. */
export class OwnRates {
  #share: FleetShare = { part: 0, homes: [], self: '' };

  #shareAt = -Infinity;

  /** Those worked out since the share was. */
  readonly #rates = new Map<GatewayTarget, number>();

  constructor(private readonly options: OwnRatesOptions) {}

  /** Whether a target has had what it takes from here. */
  isSpent(target: GatewayTarget): boolean {
    const rate = this.read(target);
    return rate < Infinity && !target.bucket.maySend(this.options.clock.now(), rate);
  }

  /** Calls a second that a target may get from here; Infinity where nothing limits it. */
  read(target: GatewayTarget): number {
    const now = this.options.clock.now();
    const named = target.named.read(now);
    const isCold = target.warmth.isCold(now);
    const risen = target.standing.readRampRate(now);
    if (named === undefined && risen === undefined && !isCold) return Infinity;
    const share = this.#readShare(now);
    const known = this.#rates.get(target);
    if (known !== undefined) return known;
    const cold = isCold ? computeColdRate(this.options.readColdness()) : undefined;
    let least = risen ?? Infinity;
    for (const shared of [named, cold]) {
      if (shared === undefined) continue;
      least = Math.min(least, computeOwnRate(shared, share, target.hash));
    }
    this.#rates.set(target, least);
    return least;
  }

  /** Works a rate out anew, as what it rests on has changed. */
  refresh(target: GatewayTarget): number {
    this.#rates.delete(target);
    return this.read(target);
  }

  #readShare(now: number): FleetShare {
    if (now - this.#shareAt < PACE) return this.#share;
    this.#shareAt = now;
    this.#rates.clear();
    this.#share = this.options.readShare();
    return this.#share;
  }
}
