/** How what a target gets rises after a time in which it got less: not all at once, as many daemons send there. */

/** A rise; times in milliseconds. */
export interface Rise {
  /** Requests a second that it begins with. */
  readonly from: number;
  /** It doubles in this time. */
  readonly doubling: number;
  /** After this long nothing limits any more. */
  readonly time: number;
}

/** Computes the requests a second that a target may get; undefined once nothing limits it. */
export function computeRisen({ from, doubling, time }: Rise, elapsed: number): number | undefined {
  return elapsed >= time ? undefined : from * 2 ** (elapsed / doubling);
}
