/** The calls of an experiment, drawn beforehand from a seed so that every run gets the same ones. */
import { type Random, createSeededRandom } from '../kernel/index.js';
import { drawServiceTime } from '../standin/index.js';

/** A kind of call in a deployment. */
export interface CallKind {
  readonly name: string;
  /** Share of all calls. */
  readonly share: number;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Work at a target, as a multiple of the mean. */
  readonly work: number;
  readonly class?: string;
  /** Length of the body. */
  readonly bytes?: number;
}

/** One call that is due at a time. */
export interface Arrival {
  /** Milliseconds from the start of the run. */
  readonly at: number;
  readonly kind: CallKind;
  /** Milliseconds of a target's slot. */
  readonly work: number;
}

/** What arrivals are drawn from. */
export interface ArrivalPlan {
  readonly seed: number;
  /** Calls a second. */
  readonly rate: number;
  readonly seconds: number;
  readonly kinds: readonly CallKind[];
  /** Mean work of a call in milliseconds. */
  readonly meanWork: number;
}

function chooseKind(kinds: readonly CallKind[], random: Random): CallKind {
  let left = random.next();
  for (const kind of kinds) {
    left -= kind.share;
    if (left < 0) return kind;
  }
  return kinds[0];
}

/** Draws arrivals with exponential gaps (a Poisson process). */
export function drawArrivals(plan: ArrivalPlan): readonly Arrival[] {
  const random = createSeededRandom(plan.seed);
  const arrivals: Arrival[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - random.next()) * 1000) / plan.rate;
    if (at > plan.seconds * 1000) return arrivals;
    const kind = chooseKind(plan.kinds, random);
    arrivals.push({ at, kind, work: drawServiceTime(plan.meanWork * kind.work, random) });
  }
}

/** Joins a rush and the calm after it; calls well after the rush's end are kinds of their own. */
export function joinRush(
  rush: readonly Arrival[],
  calm: readonly Arrival[],
  { seconds, recovery }: { readonly seconds: number; readonly recovery: number },
): readonly Arrival[] {
  const kinds = new Map<CallKind, CallKind>();
  const renameKind = (kind: CallKind): CallKind => {
    const known = kinds.get(kind) ?? { ...kind, name: `${kind.name} after` };
    kinds.set(kind, known);
    return known;
  };
  const later = calm.map((arrival) => ({
    ...arrival,
    at: arrival.at + seconds * 1000,
    kind: arrival.at >= recovery * 1000 ? renameKind(arrival.kind) : arrival.kind,
  }));
  return [...rush, ...later];
}

/** Mean work of a call of the given kinds, as a multiple of the deployment's mean. */
export function measureMeanWork(kinds: readonly CallKind[]): number {
  return kinds.reduce((sum, { share, work }) => sum + share * work, 0);
}

/**
 * The latencies of the same arrivals in one queue with all slots and perfect knowledge: no network,
 * no slowdowns, no entry. Nothing real can reach it.
 */
export function computeBound(arrivals: readonly Arrival[], slots: number): readonly number[] {
  // A heap of the times at which slots become free.
  const free = new Array<number>(slots).fill(0);
  const latencies: number[] = [];
  for (const { at, work } of arrivals) {
    const start = Math.max(at, free[0]);
    const end = start + work;
    replaceSmallest(free, end);
    latencies.push(end - at);
  }
  return latencies;
}

function replaceSmallest(heap: number[], value: number): void {
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    if (left >= heap.length) break;
    const right = left + 1;
    const child = right < heap.length && heap[right] < heap[left] ? right : left;
    if (heap[child] >= value) break;
    heap[index] = heap[child];
    index = child;
  }
  heap[index] = value;
}
