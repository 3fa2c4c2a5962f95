/**
 * Judges whether a call that is under way should be sent to a second target as well.
 *
 * Only calls that may be repeated come here. Times are in milliseconds.
 */

/** What is known of the attempt under way. */
export interface FirstAttempt {
  /** How long the call takes at a usual, idle target. */
  readonly work: number;
  readonly elapsed: number;
  /** How many times longer work took at its target when it began, as far as reports tell. */
  readonly slowdown: number;
  /** The slowdown of targets that are slow. */
  readonly slow: number;
  /** Most calls take no longer than this many times the expected time. */
  readonly spread: number;
}

/** The time that is left. */
export interface TimeLeft {
  /** Until an answer stops to be fully useful; below 0 when it has. */
  readonly untilAim: number;
  /** Until the call is given up. */
  readonly untilDeadline: number;
}

/** Why a second attempt would help, if it would. */
export type SecondAttemptReason =
  | 'none'
  /** It is expected to be late. */
  | 'late'
  /** It is about to be too late to begin anew and be in time. */
  | 'last-chance'
  /** Its target has turned slow and holds its slot for longer than running it anew takes. */
  | 'rescue';

/** The second attempt has to be expected to end first by this factor and this many milliseconds. */
const MIN_GAIN_FACTOR = 1.3;
const MIN_GAIN_MS = 15;

/** An attempt that still takes this many times a call's usual time holds its slot longer than a new one. */
const RESCUE_FACTOR = 2;

/** A last chance is taken when the first attempt would be late if it took this many times its estimate. */
const RISK_FACTOR = 2;

/** An attempt this many times over its expected time is stuck, where no target is known to be as slow. */
const STUCK_FACTOR = 4;

/** A call never has less than this part of its work before it, as far as anybody knows. */
const MIN_LEFT_SHARE = 0.25;

/** Whether an attempt has been at its target for far longer than it should. */
export function isStuck({ work, elapsed, slowdown, slow, spread }: FirstAttempt): boolean {
  // A call that met a slow target, which no report told of, takes this long without anything being wrong.
  return elapsed > work * Math.max(STUCK_FACTOR * Math.max(1, slowdown), slow * spread);
}

/**
 * Estimates how long an attempt still takes.
 *
 * A call runs as slowly as its target was when it began. One that has taken longer than most do
 * met a slow target, whatever was reported; one that has taken longer than that may go on for as long
 * as it has.
 */
export function estimateLeft({ work, elapsed, slowdown, slow, spread }: FirstAttempt): number {
  const expected = work * slowdown;
  if (elapsed <= expected * spread) {
    return Math.max(expected * MIN_LEFT_SHARE, expected - elapsed, elapsed - expected);
  }
  return Math.max(work * slow - elapsed, elapsed - expected);
}

/** Whether a second attempt could just be in time, and the first one might not. */
function isLastChance(first: FirstAttempt, { untilAim }: TimeLeft): boolean {
  if (untilAim <= 0 || untilAim > first.work * MIN_GAIN_FACTOR) return false;
  return estimateLeft(first) * RISK_FACTOR > untilAim;
}

/** Judges why a second attempt would help. */
export function findSecondAttemptReason(first: FirstAttempt, time: TimeLeft): SecondAttemptReason {
  const left = estimateLeft(first);
  const isLate = left > time.untilAim;
  if (isLate && left >= RESCUE_FACTOR * first.work) return 'rescue';
  if (isLastChance(first, time)) return 'last-chance';
  return isLate ? 'late' : 'none';
}

/** Whether a target of the given slowdown is expected to answer sooner, and before the deadline. */
export function isQuicker(first: FirstAttempt, slowdown: number, time: TimeLeft): boolean {
  const expected = first.work * slowdown;
  if (expected >= time.untilDeadline) return false;
  if (isLastChance(first, time)) return expected <= time.untilAim;
  return estimateLeft(first) >= expected * MIN_GAIN_FACTOR + MIN_GAIN_MS;
}
