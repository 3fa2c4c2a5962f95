/**
 * Computes how often one daemon may probe a target, so that all daemons together stay within the
 * limit.
 *
 * Each known daemon has an equal part of the limit. A home also uses the parts of the daemons that
 * query it; a daemon that is not a home keeps a small part, for calls that reach it all the same.
 * The sum therefore stays within the limit however the fleet is partitioned, and whichever daemons
 * take themselves for homes.
 */

/** What a daemon knows of the fleet. */
export interface ProbeTerms {
  /** Probes a second that the fleet may send to each target. */
  readonly limit: number;
  /** Number of known daemons, including this one. */
  readonly members: number;
  /** Number of those that report to this daemon, including itself. */
  readonly present: number;
  readonly isHome: boolean;
}

/** Part of each daemon's share that its home uses on its behalf. */
const HOMES_SHARE = 0.7;

/**
 * Part of its share that a daemon keeps when it is not a home; the remaining twentieth is reserved
 * for probes of homes that stand in for a late one.
 */
const OTHERS_SHARE = 0.25;

/**
 * Returns the minimum time between two probes of a target by this daemon, in milliseconds. Homes
 * that receive each other's messages divide the targets among themselves, so that each target has
 * one prober.
 */
export function computeProbeInterval({ limit, members, present, isHome }: ProbeTerms): number {
  const share = isHome ? HOMES_SHARE * Math.min(present, members) : OTHERS_SHARE;
  return (1000 * members) / (limit * share);
}
