/**
 * Scales the number of homes with the load, so that none of them is slow to act.
 *
 * Guards against more calls than the processors of a few daemons can handle while the other daemons
 * idle: homes that are busy most of the time delay every call. Each further home costs precision,
 * because homes learn each other's counts of calls from reports, and it costs messages, because
 * each reports to all others and probes targets. So there are no more homes than the load needs.
 *
 * The first home plans the number and announces it. The others adopt it, so all give callers the
 * same homes.
 */
import type { HomeUtilisation } from './roster.js';

/** The input of a plan. */
export interface HomeScalerInput {
  /** The current number of homes. */
  readonly homes: number;
  /** The least number of homes that the settings allow. */
  readonly minHomes: number;
  /** The recent utilisation of each home. */
  readonly utilisations: readonly HomeUtilisation[];
  /** The current time, in milliseconds. */
  readonly now: number;
}

/**
 * The utilisation (0 to 1) from which work waits for the processor for longer than it takes itself.
 */
export const HIGH_UTILISATION = 0.6;

/** Below this utilisation (0 to 1) one home fewer still leaves the others below the limit above. */
const LOW_UTILISATION = 0.2;

/** The factor by which the number of homes grows. */
const GROWTH_FACTOR = 1.5;

/**
 * Callers that cache the list of homes move within this time; until then the effect of a change
 * does not show.
 */
const SETTLE_TIME_MS = 6000;

/** How long the load has to be low before a home is removed, as callers then have to move again. */
const SCALE_DOWN_DELAY_MS = 15_000;

/**
 * Computes the utilisation of all cores together: a small home at its limit says little about the
 * others.
 */
function computeMeanUtilisation(homes: readonly HomeUtilisation[]): number {
  let work = 0;
  let cores = 0;
  for (const { utilisation, capacity } of homes) {
    work += utilisation * capacity;
    cores += capacity;
  }
  return cores > 0 ? work / cores : 0;
}

/** Plans the number of homes; used by the first home. */
export class HomeScaler {
  #changedAt = -Infinity;

  #lastLoadedAt = -Infinity;

  /** Returns the number of homes that the load needs. */
  plan({ homes, minHomes, utilisations, now }: HomeScalerInput): number {
    const mean = computeMeanUtilisation(utilisations);
    if (mean >= LOW_UTILISATION) this.#lastLoadedAt = now;
    if (mean >= HIGH_UTILISATION && now - this.#changedAt >= SETTLE_TIME_MS) {
      this.#changedAt = now;
      return Math.ceil(homes * GROWTH_FACTOR);
    }
    if (homes <= minHomes || now - this.#lastLoadedAt < SCALE_DOWN_DELAY_MS) return homes;
    if (now - this.#changedAt < SCALE_DOWN_DELAY_MS) return homes;
    this.#changedAt = now;
    return homes - 1;
  }
}
