/**
 * The expected run time of one call: the estimates that decide whether it is refused, and what its
 * answer teaches for the next ones.
 *
 * Times are in milliseconds.
 */
import type { Clock } from '../kernel/index.js';
import type { TrialDecision } from './refusal-evidence.js';
import type { RouteTime } from './route-time.js';

/** An answered call. */
export interface AnsweredCall {
  /** From the start of the attempt to its answer. */
  readonly time: number;
  /** Estimated slowdown of its target at the start. */
  readonly slowdown: number;
  /** By how much this daemon was late itself meanwhile. */
  readonly lateness: number;
}

/**
 * Above this estimated slowdown it is not certain that a target was quick, and a slow target would
 * raise the estimate of the work.
 */
const MAX_CERTAIN_SLOWDOWN = 1.5;

/**
 * Share of a call's time by which this daemon may have been late itself. Beyond it, as after a
 * freeze of the machine, the time tells nothing about the target.
 */
const MAX_LATENESS_SHARE = 0.5;

/** The run time of one call. Its estimates follow what is learned while it waits. */
export class CallRunTime {
  #trial: TrialDecision = 'refuse';

  constructor(
    private readonly routeTime: RouteTime,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly isRepeatable: boolean,
  ) {}

  /** Expected duration at an idle target of usual speed. */
  get work(): number {
    return this.routeTime.readWork();
  }

  /** Factor by which most calls stay within the expected time. */
  get spread(): number {
    return this.routeTime.readSpread();
  }

  /** Whether the call may be refused for these estimates. */
  get isKnown(): boolean {
    return this.routeTime.hasEvidence(this.clock.now());
  }

  /** Whether the call is sent although the estimates would have refused it. */
  get isTrial(): boolean {
    return this.#trial !== 'refuse';
  }

  /** Whether the call is, or now becomes, a trial. Asked before it is refused. */
  takeTrial(): boolean {
    if (!this.isTrial) {
      this.#trial = this.routeTime.decideTrial(this.clock.now(), this.isRepeatable);
    }
    return this.isTrial;
  }

  /** Records that the call has ended, whatever its outcome. */
  finish(): void {
    if (this.#trial === 'trial') this.routeTime.finishTrial();
  }

  /**
   * Learns from the answer. Returns the work of the call; undefined when its time does not tell.
   *
   * @param observeCrowding returns the factor by which other calls at the target made this one
   *   slower, given its time in multiples of the expected time
   */
  recordAnswer(
    { time, slowdown, lateness }: AnsweredCall,
    observeCrowding: (relativeTime: number) => number,
  ): number | undefined {
    if (lateness > time * MAX_LATENESS_SHARE) return undefined;
    const { routeTime } = this;
    const now = this.clock.now();
    if (this.isTrial) routeTime.recordTrialAnswer(time, slowdown, now);
    if (slowdown > MAX_CERTAIN_SLOWDOWN) return undefined;
    const relativeTime = time / (routeTime.readWork() * slowdown);
    routeTime.recordRatio(relativeTime);
    const work = time / slowdown / observeCrowding(relativeTime);
    routeTime.recordWork(work, now);
    return work;
  }

  /** Records that the call was running when its time was up. */
  recordTimeout(): void {
    if (this.isTrial) this.routeTime.recordTrialTimeout(this.clock.now());
  }
}
