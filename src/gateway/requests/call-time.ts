/** What the time of an answered call tells about its route and its service. */
import type { CallRunTime } from '../../balance/index.js';
import type { TargetService } from '../targets/target-service.js';
import type { RunningAttempt } from './attempt.js';
import type { ForwardingContext } from './routed-request.js';

/** Counts the outcome of a call that was sent as a trial of the estimate. */
export function countTrial(
  { metrics }: Pick<ForwardingContext, 'metrics'>,
  { name }: TargetService,
  runTime: CallRunTime,
  outcome: 'answered' | 'timeout',
): void {
  if (runTime.isTrial) metrics.count('run_time_trials', { service: name, outcome });
}

/**
 * Updates the estimates of the route's call time, and of how much longer calls take at a nearly
 * full target.
 */
export function recordCallTime(
  context: Pick<ForwardingContext, 'clock' | 'metrics' | 'readLateness'>,
  service: TargetService,
  runTime: CallRunTime,
  { target, startedAt, callsAtStart }: RunningAttempt,
): void {
  const now = context.clock.now();
  const { load, record, slowdownHistory } = target;
  const answered = {
    ...{ time: now - startedAt, lateness: context.readLateness(startedAt) },
    slowdown: slowdownHistory.estimate(startedAt, service.readSlowdownParameters()),
  };
  const running = (load.lastReport?.running ?? load.inFlight) + 1;
  const shares = [callsAtStart / record.slots, running / record.slots] as const;
  const work = runTime.recordAnswer(answered, (relativeTime) =>
    service.knee.observe(relativeTime, shares, now),
  );
  if (work !== undefined) service.recordWork(work);
  countTrial(context, service, runTime, 'answered');
}
