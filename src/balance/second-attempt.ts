/**
 * Decides whether a call in progress should be sent to a second target as well (a hedge).
 *
 * Applies only to calls that may be repeated. Times are in milliseconds.
 */

/** The attempt in progress. */
export interface FirstAttempt {
  /** Expected duration of the call at an idle target of usual speed. */
  readonly work: number;
  readonly elapsed: number;
  /** Slowdown of its target when the attempt began, as far as reports tell. */
  readonly slowdown: number;
  /** Mean slowdown of slow targets. */
  readonly slow: number;
  /** Factor by which most calls stay within the expected time. */
  readonly spread: number;
}

/** The time left for an answer. */
export interface TimeLeft {
  /** Time until an answer is late; below 0 once it is. */
  readonly untilAim: number;
  /** Time until the call is abandoned. */
  readonly untilDeadline: number;
}

/** Why a second attempt would help, if it would. */
export type SecondAttemptReason =
  | 'none'
  /** The first attempt is expected to be late. */
  | 'late'
  /** A new attempt soon could no longer be in time. */
  | 'last-chance'
  /** Its target has become slow and will hold the slot for longer than a new attempt takes. */
  | 'rescue';

/** A second attempt must be expected to finish first by this factor and this many milliseconds. */
const MIN_GAIN_FACTOR = 1.3;
const MIN_GAIN_MS = 15;

/**
 * An attempt expected to take this many times a call's usual time holds its slot longer than a new
 * one.
 */
const RESCUE_FACTOR = 2;

/** A last chance is taken if the first attempt would be late at this many times its estimate. */
const RISK_FACTOR = 2;

/**
 * An attempt at this many times its expected time is stuck, unless targets are known to be that
 * slow.
 */
const STUCK_FACTOR = 4;

/** The remaining time of an attempt is assumed to be at least this share of its expected time. */
const MIN_LEFT_SHARE = 0.25;

/** Whether an attempt has taken so long that it is considered stuck. */
export function isStuck({ work, elapsed, slowdown, slow, spread }: FirstAttempt): boolean {
  // A call at a slow target that no report mentioned takes up to `slow * spread` times its work
  // without any fault.
  return elapsed > work * Math.max(STUCK_FACTOR * Math.max(1, slowdown), slow * spread);
}

/**
 * Estimates how much longer an attempt takes.
 *
 * A call runs as slowly as its target was when it began. An attempt that has exceeded the duration
 * of most calls met a slow target, whatever was reported. One that has exceeded even that may go on
 * for as long as it has already run.
 */
export function estimateLeft({ work, elapsed, slowdown, slow, spread }: FirstAttempt): number {
  const expected = work * slowdown;
  if (elapsed <= expected * spread) {
    return Math.max(expected * MIN_LEFT_SHARE, expected - elapsed, elapsed - expected);
  }
  return Math.max(work * slow - elapsed, elapsed - expected);
}

/** Whether a second attempt could just be in time while the first one might not. */
function isLastChance(first: FirstAttempt, { untilAim }: TimeLeft): boolean {
  if (untilAim <= 0 || untilAim > first.work * MIN_GAIN_FACTOR) return false;
  return estimateLeft(first) * RISK_FACTOR > untilAim;
}

/** Finds why a second attempt would help. */
export function findSecondAttemptReason(first: FirstAttempt, time: TimeLeft): SecondAttemptReason {
  const left = estimateLeft(first);
  const isLate = left > time.untilAim;
  if (isLate && left >= RESCUE_FACTOR * first.work) return 'rescue';
  if (isLastChance(first, time)) return 'last-chance';
  return isLate ? 'late' : 'none';
}

/** Whether a target with this slowdown is expected to answer sooner, and before the deadline. */
export function isQuicker(first: FirstAttempt, slowdown: number, time: TimeLeft): boolean {
  const expected = first.work * slowdown;
  if (expected >= time.untilDeadline) return false;
  if (isLastChance(first, time)) return expected <= time.untilAim;
  return estimateLeft(first) >= expected * MIN_GAIN_FACTOR + MIN_GAIN_MS;
}
