/** Limits on the number of concurrent calls at a target. */

/** A limit on the calls in flight at one target. */
export interface ConcurrencyLimit {
  /** Returns the current limit, at least 1. */
  read(): number;
  /** Learns from an answer. @param full whether calls in flight had reached the limit */
  recordAnswer(latency: number, full: boolean): void;
  /** Learns that the target refused a call because it was overloaded. */
  recordShed(): void;
}

/** Creates the limit of a target with a known number of slots. A shed call does not lower it. */
export function createFixedLimit(slots: number): ConcurrencyLimit {
  return { read: () => slots, recordAnswer: () => undefined, recordShed: () => undefined };
}

const INITIAL_LIMIT = 4;
const SLOW_FACTOR = 1.5;
const LATENCY_DECREASE = 0.8;
const SHED_DECREASE = 0.7;
const BASELINE_DRIFT = 0.002;

/**
 * Creates the limit of a target with an unknown number of slots (additive increase, multiplicative
 * decrease).
 *
 * It grows by one per window of answers, a window being as many as the limit, while latency stays
 * near the lowest seen. It shrinks when latency rises above that or the target sheds a call.
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
