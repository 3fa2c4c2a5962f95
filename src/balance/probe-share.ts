/**
 * How often one daemon may probe a target, so that all daemons together keep to the agreed number.
 *
 * Each daemon that is known carries an equal part of the number. A home probes for all that ask it,
 * with their parts; a daemon that is no home keeps a small part for itself, for calls that come to it
 * all the same. So the sum holds however the fleet is split, and whoever takes itself for a home.
 */

/** What a daemon knows of the fleet. */
export interface ProbeTerms {
  /** Probes that the fleet may send to each target a second. */
  readonly limit: number;
  /** Daemons known, this one included. */
  readonly members: number;
  /** Those of them that look to this daemon, itself included. */
  readonly present: number;
  readonly isHome: boolean;
}

/** The part of the agreed number that is lent to the homes. */
const HOMES_SHARE = 0.7;

/** The part that is left to the others; a twentieth is kept back for probes that stand in. */
const OTHERS_SHARE = 0.25;

/**
 * Returns the least time between two probes of a target that the daemon's part allows, in
 * milliseconds. The homes that hear each other divide the targets, so that each target has one prober.
 */
export function computeProbeInterval({ limit, members, present, isHome }: ProbeTerms): number {
  const share = isHome ? HOMES_SHARE * Math.min(present, members) : OTHERS_SHARE;
  return (1000 * members) / (limit * share);
}
