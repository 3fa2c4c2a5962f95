/**
 * Decides how a call gets to a target: over a connection of this daemon, carried by another daemon
 * that reaches targets, or not at all.
 *
 * A call is carried once at most, so two daemons never pass it to and fro.
 */
import type { Random } from '../kernel/index.js';

/** What the path of a call depends on. */
export interface CallSituation {
  /** Whether this daemon reaches a target of the service, as far as it knows. */
  readonly isReached: boolean;
  /** Targets to which no connection could be opened for this call. */
  readonly connectionFailures: number;
  /** Whether these are all that it could go to. */
  readonly isExhausted: boolean;
  /** Whether another daemon has sent the call here. */
  readonly isCarried: boolean;
  /** Whether there is a daemon that may carry the call; asked only where it matters. */
  readonly hasCarrier: () => boolean;
}

/** The path of a call. */
export type CallPath = 'direct' | 'carry' | 'refuse';

/**
 * Connections that may fail for one call before it is carried: single targets end all the time,
 * while new connections of a daemon may all be refused as open ones live on.
 */
const MAX_CONNECTION_FAILURES = 2;

/** Chooses the path of a call. */
export function chooseCallPath(situation: CallSituation): CallPath {
  const { isReached, connectionFailures, isExhausted, isCarried, hasCarrier } = situation;
  const hasFailed = connectionFailures >= MAX_CONNECTION_FAILURES || isExhausted;
  if (isReached && !hasFailed) return 'direct';
  if (!isCarried && hasCarrier()) return 'carry';
  return isReached ? 'direct' : 'refuse';
}

/** A daemon that may carry calls. */
export interface CarrierCandidate {
  readonly domain: string;
  /** Cores; may be a fraction. */
  readonly capacity: number;
  /** Calls that it carries for this daemon now. */
  readonly inFlight: number;
}

/** A carrier in another failure domain counts as this much less capable: its traffic is paid for. */
const OTHER_DOMAIN_WEIGHT = 0.5;

function computeWeight({ domain, capacity }: CarrierCandidate, ownDomain: string): number {
  return capacity * (domain === ownDomain ? 1 : OTHER_DOMAIN_WEIGHT);
}

/** Draws an item with a probability in proportion to its weight; undefined when there is none. */
function drawWeighted<T>(
  items: readonly T[],
  readWeight: (item: T) => number,
  random: Random,
): T | undefined {
  const total = items.reduce((sum, item) => sum + readWeight(item), 0);
  let left = random.next() * total;
  for (const item of items) {
    left -= readWeight(item);
    if (left < 0) return item;
  }
  return items.at(-1);
}

/**
 * Chooses a carrier: the less busy one of two that are drawn by capacity and nearness; undefined
 * when there is none.
 */
export function chooseCarrier<T extends CarrierCandidate>(
  candidates: readonly T[],
  { domain, random }: { readonly domain: string; readonly random: Random },
): T | undefined {
  const readWeight = (candidate: T) => computeWeight(candidate, domain);
  const first = drawWeighted(candidates, readWeight, random);
  const others = candidates.filter((candidate) => candidate !== first);
  const second = drawWeighted(others, readWeight, random);
  if (first === undefined || second === undefined) return first;
  const computeLoad = (candidate: T) => (candidate.inFlight + 1) / readWeight(candidate);
  return computeLoad(second) < computeLoad(first) ? second : first;
}
