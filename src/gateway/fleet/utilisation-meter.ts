/** Which part of its time this daemon has been at work of late. */
import { performance } from 'node:perf_hooks';
import { DecayingMean } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';

/** Long against one call, short against a burst. */
const HALF_LIFE_MS = 500;

/** The share of a span in which the event loop was not idle, from 0 to 1; made anew for each span. */
export type UtilisationReader = () => number;

/** Reads the event loop of this process; time in which it was kept from the processor counts as work. */
export function createUtilisationReader(): UtilisationReader {
  let last = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, last);
    last = now;
    return Number.isFinite(utilization) ? utilization : 0;
  };
}

/** Follows the part that was work. */
export class UtilisationMeter {
  readonly #utilisation = new DecayingMean(HALF_LIFE_MS);

  constructor(
    private readonly clock: Clock,
    private readonly readUtilisation: UtilisationReader,
  ) {}

  /** Takes what has passed since the last time, and returns the part that was work. */
  read(): number {
    this.#utilisation.add(this.readUtilisation(), this.clock.now());
    return this.#utilisation.read(0);
  }
}
