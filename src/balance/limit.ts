/** How many calls a target is given at once. */

/** A limit on the calls in flight at one target. */
export interface ConcurrencyLimit {
  /** The limit now; at least 1. */
  read(): number;
  /** Learns from an answer; `full` tells whether the limit was in use. */
  recordAnswer(latency: number, full: boolean): void;
  /** Learns that the target refused for want of room. */
  recordShed(): void;
}

/** Creates the limit of a target whose slots are known. A shed call lowers nothing. */
export function createFixedLimit(slots: number): ConcurrencyLimit {
  return { read: () => slots, recordAnswer: () => undefined, recordShed: () => undefined };
}

const INITIAL_LIMIT = 4;
const SLOW_FACTOR = 1.5;
const LATENCY_DECREASE = 0.8;
const SHED_DECREASE = 0.7;
const BASELINE_DRIFT = 0.002;

/**
 * Creates the limit of a target whose slots are not known (additive increase, multiplicative decrease).
 *
 * It grows by one for each limit's worth of answers while latency stays near the lowest seen, and
 * shrinks when latency rises above that or when the target sheds.
 */
export function createAdaptiveLimit(max: number): ConcurrencyLimit {
  let limit = Math.min(INITIAL_LIMIT, max);
  let baseline = Infinity;
  let recent = 0;
  const clamp = (value: number) => Math.min(max, Math.max(1, value));
  return {
    read: () => Math.floor(limit),
    recordAnswer(latency, full) {
      baseline = Math.min(latency, baseline + baseline * BASELINE_DRIFT);
      recent = recent === 0 ? latency : recent + (latency - recent) / limit;
      if (recent > baseline * SLOW_FACTOR + 1) {
        limit = clamp(limit - (1 - LATENCY_DECREASE));
        return;
      }
      if (full) limit = clamp(limit + 1 / limit);
    },
    recordShed() {
      limit = clamp(limit * SHED_DECREASE);
    },
  };
}
