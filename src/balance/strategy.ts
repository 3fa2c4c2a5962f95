/** Strategies for choosing one of the targets that may take one more call. */
import type { Random } from '../kernel/index.js';
import type { Target } from './target.js';

/** Names of the strategies. All but `fresh` are baselines for the experiment tool. */
export const STRATEGIES = [
  ...(['fresh', 'random', 'round-robin', 'least-in-flight'] as const),
  ...(['two-choices', 'lowest-latency'] as const),
] as const;

/** One of {@link STRATEGIES}. */
export type Strategy = (typeof STRATEGIES)[number];

/** Chooses one of the candidates, of which there is at least one. */
export type Chooser = (candidates: readonly Target[], now: number) => Target;

/** Returns the item with the lowest cost; ties go to the first one from a random position. */
export function findCheapest<T>(
  items: readonly T[],
  measure: (item: T) => number,
  random: Random,
): T {
  const start = Math.floor(random.next() * items.length);
  let best = items[start];
  let bestCost = measure(best);
  for (let step = 1; step < items.length; step += 1) {
    const item = items[(start + step) % items.length];
    const cost = measure(item);
    if (cost < bestCost) {
      best = item;
      bestCost = cost;
    }
  }
  return best;
}

const STALL_FACTOR = 3;
const STALL_FLOOR_MS = 5;
const STALL_COST = 4;
const LATENCY_WEIGHT = 0.25;
/**
 * Latencies within this factor are noise; without it one target would get every call at light load.
 */
const LATENCY_TOLERANCE = 1.25;
const UNKNOWN_LATENCY_MS = 10;

/**
 * Computes the cost of giving a target one more call, from what this entry has observed itself.
 *
 * The share of busy slots is exact if the entry is the target's only home. A target that holds
 * calls for much longer than usual without completing any is taken to have slowed down; that shows
 * within a few service times, long before the mean latency rises.
 */
function computeFreshCost(target: Target, now: number, usualLatency: number): number {
  const limit = Math.max(1, target.limit);
  const busy = (target.inFlight + target.otherInFlight) / limit;
  const latencyCost =
    (target.readLatency(usualLatency) / usualLatency - LATENCY_TOLERANCE) * LATENCY_WEIGHT;
  const stallCost =
    target.readStall(now) > STALL_FACTOR * usualLatency + STALL_FLOOR_MS ? STALL_COST : 0;
  return busy + Math.min(1, Math.max(0, latencyCost)) + stallCost;
}

function computeMeanLatency(candidates: readonly Target[]): number {
  let sum = 0;
  for (const target of candidates) sum += target.readLatency(UNKNOWN_LATENCY_MS);
  return Math.max(1, sum / candidates.length);
}

/** Creates the chooser of a strategy. */
export function createChooser(strategy: Strategy, random: Random): Chooser {
  const pickAny = (candidates: readonly Target[]) =>
    candidates[Math.floor(random.next() * candidates.length)];
  switch (strategy) {
    case 'random':
      return pickAny;
    case 'round-robin': {
      let turn = 0;
      return (candidates) => {
        turn += 1;
        return candidates[turn % candidates.length];
      };
    }
    case 'least-in-flight':
      return (candidates) => findCheapest(candidates, (target) => target.inFlight, random);
    case 'two-choices':
      return (candidates) => {
        const [a, b] = [pickAny(candidates), pickAny(candidates)];
        return a.inFlight <= b.inFlight ? a : b;
      };
    case 'lowest-latency':
      return (candidates) => {
        const [a, b] = [pickAny(candidates), pickAny(candidates)];
        const measure = (target: Target) =>
          target.readLatency(UNKNOWN_LATENCY_MS) * (target.inFlight + 1);
        return measure(a) <= measure(b) ? a : b;
      };
    case 'fresh':
      return (candidates, now) => {
        const usualLatency = computeMeanLatency(candidates);
        return findCheapest(
          candidates,
          (target) => computeFreshCost(target, now, usualLatency),
          random,
        );
      };
    default:
      return strategy satisfies never;
  }
}

/** Whether a strategy keeps targets within their slots and lets calls wait in the entry. */
export function isBounded(strategy: Strategy): boolean {
  return strategy === 'fresh';
}
