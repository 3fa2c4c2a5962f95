/** Proofs that a revision was the newest one at some time. */

/** A revision and when it was last known to be newest, on the kernel's clock; -Infinity: never. */
export interface Proof {
  readonly revision: number;
  readonly at: number;
}

/** Returns the proof of the newer revision; of two for the same revision, the later one. */
export function mergeProofs(a: Proof, b: Proof): Proof {
  if (a.revision !== b.revision) return a.revision > b.revision ? a : b;
  return a.at >= b.at ? a : b;
}
