/** How long ago a revision was shown to be the newest one. */

/** A revision with the time of its last proof, on the kernel's clock; -Infinity is never. */
export interface Proof {
  readonly revision: number;
  readonly at: number;
}

/** Joins two proofs: a newer revision replaces an older one, and of one revision the later counts. */
export function mergeProofs(a: Proof, b: Proof): Proof {
  if (a.revision !== b.revision) return a.revision > b.revision ? a : b;
  return a.at >= b.at ? a : b;
}
