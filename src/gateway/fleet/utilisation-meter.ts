/** Measures the recent utilisation of this daemon's event loop. */
import { performance } from 'node:perf_hooks';
import { DecayingMean } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';

/** Long compared to one call, short compared to a burst. */
const HALF_LIFE_MS = 500;

/** Returns the utilisation of the event loop since the last call of this function, from 0 to 1. */
export type UtilisationReader = () => number;

/**
 * Creates a reader for the event loop of this process. Time in which the process had to wait for a
 * processor counts as busy.
 */
export function createUtilisationReader(): UtilisationReader {
  let last = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, last);
    last = now;
    return Number.isFinite(utilization) ? utilization : 0;
  };
}

/** Averages the utilisation over recent time. */
export class UtilisationMeter {
  readonly #utilisation = new DecayingMean(HALF_LIFE_MS);

  constructor(
    private readonly clock: Clock,
    private readonly readUtilisation: UtilisationReader,
  ) {}

  /** Adds the utilisation since the last call, and returns the average, from 0 to 1. */
  read(): number {
    this.#utilisation.add(this.readUtilisation(), this.clock.now());
    return this.#utilisation.read(0);
  }
}
