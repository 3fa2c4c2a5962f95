/**
 * Judges whether a call that is under way should be sent to a second target as well.
 *
 * Only calls that may be repeated come here. Times are in milliseconds.
 */

/** What is known of the attempt under way. */
export interface FirstAttempt {
  /** How long the call takes at a usual, idle target. */
  readonly usual: number;
  readonly elapsed: number;
  /** How many times longer work takes at its target now. */
  readonly slowdown: number;
}

/** The time that is left. */
export interface TimeLeft {
  /** Until an answer stops to be fully useful; below 0 when it has. */
  readonly untilAim: number;
  /** Until the call is given up. */
  readonly untilDeadline: number;
}

/** Why a second attempt would help, if it would. */
export type Need =
  | 'none'
  /** It is expected to be late. */
  | 'late'
  /** It is about to be too late to begin anew and be in time. */
  | 'last-chance'
  /** Its target has turned slow and holds its slot for longer than running it anew takes. */
  | 'rescue';

/** The second attempt has to be expected to end first by this factor and this many milliseconds. */
const FACTOR = 1.3;
const MARGIN = 15;

/** From this slowdown on, running a call anew takes less of a slot than letting it end. */
const RESCUE_SLOWDOWN = 2.5;

/** An attempt this many times over its expected time is stuck. */
const STUCK_FACTOR = 4;

/** A call never has less than this part of its work before it, as far as anybody knows. */
const LEAST_LEFT = 0.25;

/** Whether an attempt has been at its target for far longer than it should. */
export function isStuck({ usual, elapsed, slowdown }: FirstAttempt): boolean {
  return elapsed > STUCK_FACTOR * usual * Math.max(1, slowdown);
}

/** Estimates how long an attempt still takes at its target's present speed. */
export function estimateLeft({ usual, elapsed, slowdown }: FirstAttempt): number {
  const workLeft = usual - elapsed / Math.max(1, slowdown);
  // What is overdue is not about to end: the longer it has been, the longer it may go on.
  const overdue = elapsed - usual * slowdown;
  return Math.max(usual * LEAST_LEFT * slowdown, workLeft * slowdown, overdue);
}

function isLastChance({ usual }: FirstAttempt, { untilAim }: TimeLeft): boolean {
  return untilAim > 0 && untilAim <= usual * FACTOR;
}

/** Judges why a second attempt would help. */
export function judgeNeed(first: FirstAttempt, time: TimeLeft): Need {
  const isLate = estimateLeft(first) > time.untilAim;
  if (isLate && first.slowdown >= RESCUE_SLOWDOWN) return 'rescue';
  if (isLastChance(first, time)) return 'last-chance';
  return isLate ? 'late' : 'none';
}

/** Whether a target of the given slowdown is expected to answer sooner, and before the deadline. */
export function isQuicker(first: FirstAttempt, slowdown: number, time: TimeLeft): boolean {
  const expected = first.usual * slowdown;
  if (expected >= time.untilDeadline) return false;
  if (isLastChance(first, time)) return true;
  return estimateLeft(first) >= expected * FACTOR + MARGIN;
}
