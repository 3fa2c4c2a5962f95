/** Which part of its time this daemon has been at work of late. */
import { performance } from 'node:perf_hooks';
import { DecayingMean } from '../../balance/index.js';
import type { Clock } from '../../kernel/index.js';

/** Long against one call, short against a burst. */
const HALF_LIFE = 500;

/** The share of a span in which the event loop was not idle, from 0 to 1; made anew for each span. */
export type UtilizationReader = () => number;

/** Reads the event loop of this process; time in which it was kept from the processor counts as work. */
export function createUtilizationReader(): UtilizationReader {
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
  readonly #busy = new DecayingMean(HALF_LIFE);

  constructor(
    private readonly clock: Clock,
    private readonly readUtilization: UtilizationReader,
  ) {}

  /** Takes what has passed since the last time, and returns the part that was work. */
  read(): number {
    this.#busy.add(this.readUtilization(), this.clock.now());
    return this.#busy.read(0);
  }
}
