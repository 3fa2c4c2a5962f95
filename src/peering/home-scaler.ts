/**
 * How many homes there are: as many as carry the load, so that none of them acts late.
 *
 * The pattern answered: more calls than a few daemons' processors carry while the others idle. Homes that are busy
 * most of their time act late on all calls. More homes cost precision, since counts of calls are told and not seen,
 * and each of them tells all others and asks targets, so there are no more than the load needs.
 *
 * The first home plans and tells; the others follow, so all name the same homes to callers.
 */
import type { HomeUtilisation } from './roster.js';

/** What the plan follows from. */
export interface HomeScalerInput {
  /** Homes until now. */
  readonly homes: number;
  /** Homes that the settings ask for at least. */
  readonly minHomes: number;
  /** How busy each home was of late. */
  readonly utilisations: readonly HomeUtilisation[];
  readonly now: number;
}

/** From this part on the time that work waits for the processor is longer than the work itself. */
export const HIGH_UTILISATION = 0.6;

/** One home fewer would still leave the others less busy than that. */
const LOW_UTILISATION = 0.2;

/** Homes after a change, as a multiple of those before it. */
const GROWTH_FACTOR = 1.5;

/** Callers that hold an answer move within this time; until then a change does not show, in milliseconds. */
const SETTLE_TIME_MS = 6000;

/** The load has to be low for this long before there are fewer homes, as callers must move again. */
const SCALE_DOWN_DELAY_MS = 15_000;

/** The part of all cores that is at work: a weak home that is full says little of the others. */
function computeMeanUtilisation(homes: readonly HomeUtilisation[]): number {
  let work = 0;
  let cores = 0;
  for (const { utilisation, capacity } of homes) {
    work += utilisation * capacity;
    cores += capacity;
  }
  return cores > 0 ? work / cores : 0;
}

/** The plan of the first home. */
export class HomeScaler {
  #changedAt = -Infinity;

  #lastLoadedAt = -Infinity;

  /** Returns how many homes there should be. */
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
