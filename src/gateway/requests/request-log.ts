/** The lines and counters of one request: each decision on it, with what it rested on. */
import { findLatenessCause } from '../../balance/index.js';
import type { Clock, Log, TextMetrics } from '../../kernel/index.js';
import type { LocalAnswer } from './answers.js';
import type { RunningAttempt } from './attempt.js';

/** What all lines of a request name. */
export interface LoggedRequest {
  readonly id: string;
  readonly route: { readonly name: string };
  readonly service: { readonly name: string };
  /** When its head was read, on the kernel's clock. */
  readonly headReadAt: number;
  /** When it is estimated to have come: it lay unread from then on. */
  readonly estimatedArrivalAt: number;
  /** When an answer that leaves here stops to be fully useful to the caller. */
  readonly aimAt: number;
}

/** Where the lines and counters go. */
export interface RequestLogOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
}

/** Tells of one request. */
export class RequestLog {
  /** When it was first sent to a target. */
  #firstSentAt: number | undefined;

  #attemptCount = 0;

  constructor(
    private readonly options: RequestLogOptions,
    private readonly request: LoggedRequest,
  ) {}

  /** Notes that it is sent to a target. */
  recordAttempt(): void {
    this.#firstSentAt ??= this.options.clock.now();
    this.#attemptCount += 1;
  }

  /** Tells of an answer of ours. */
  logLocalAnswer(answer: LocalAnswer): void {
    const { clock, log, metrics } = this.options;
    const { id, route, service, headReadAt } = this.request;
    const now = clock.now();
    const reason = 'reason' in answer ? answer.reason : '';
    metrics.count('request_told', { service: service.name, told: answer.kind, reason });
    log.info('request.told', {
      ...{ id, route: route.name, service: service.name, told: answer.kind },
      ...{ reason: 'reason' in answer ? answer.reason : undefined, sendings: this.#attemptCount },
      ...{
        unread: this.#computeUnread(),
        waited: Math.round((this.#firstSentAt ?? now) - headReadAt),
      },
      held: Math.round(now - headReadAt),
      retry_after: 'retryAfter' in answer ? Math.round(answer.retryAfter) : undefined,
    });
  }

  /** Tells of a target's answer that is passed on. @param expectedTime how long a call takes as expected */
  logAnswer(attempt: RunningAttempt, expectedTime: number): void {
    const { clock, log, metrics } = this.options;
    const { id, route, headReadAt } = this.request;
    const { target, startedAt, timing } = attempt;
    const now = clock.now();
    metrics.observe('request_unread_ms', {}, this.#computeUnread());
    metrics.observe('request_held_ms', { route: route.name }, now - headReadAt);
    metrics.observe('attempt_head_ms', { route: route.name }, timing.head);
    this.#logLateness(attempt, expectedTime);
    log.debug('request.answered', {
      ...{ id, route: route.name, target: target.record.incarnation, sendings: this.#attemptCount },
      ...{
        unread: this.#computeUnread(),
        before: Math.round(startedAt - headReadAt),
        connect: Math.round(timing.connected),
      },
      ...{ head: Math.round(timing.head), held: Math.round(now - headReadAt) },
      ...{ slowdown: target.load.lastSlowdown, calls: target.load.countCalls(now, 1) },
    });
  }

  /**
   * Tells of an attempt that brought no answer to pass on.
   *
   * @param lost for one that was sent and lost: whether its target ended, and what its request is known by, as tries
   *   of the same request have other ids
   */
  logFailure(
    { target, startedAt, timing }: RunningAttempt,
    outcome: string,
    reason: string,
    lost?: { readonly ended: boolean; readonly fingerprints: readonly string[] },
  ): void {
    const { clock, log, metrics } = this.options;
    const { id, service } = this.request;
    const now = clock.now();
    metrics.count('attempt_failed', { service: service.name, outcome });
    log.info('attempt.failed', {
      ...{ id, service: service.name, target: target.record.incarnation, outcome, reason },
      ...{ ended: lost?.ended, request: lost?.fingerprints[0], alike: lost?.fingerprints.at(-1) },
      ...{
        took: Math.round(now - startedAt),
        connect: Math.round(timing.connected),
        calls: target.load.countCalls(now, 1),
      },
      report_age: Math.round(now - target.load.reportedAt),
      slowdown: target.load.lastSlowdown,
    });
  }

  #computeUnread(): number {
    return Math.round(this.request.headReadAt - this.request.estimatedArrivalAt);
  }

  /** Tells of an answer that comes after its aim, and why. */
  #logLateness({ target }: RunningAttempt, expectedTime: number): void {
    const { clock, log, metrics } = this.options;
    const { id, route, service, headReadAt, aimAt } = this.request;
    const now = clock.now();
    const times = {
      ...{ aimLeft: aimAt - headReadAt, waited: (this.#firstSentAt ?? now) - headReadAt },
      ...{ held: now - headReadAt, attempts: this.#attemptCount },
    };
    const why = findLatenessCause(times, expectedTime);
    if (why === 'in-time') return;
    metrics.count('answers_late', { service: service.name, why });
    log.info('request.late', {
      ...{ id, route: route.name, service: service.name, why },
      ...{
        aim_left: Math.round(times.aimLeft),
        unread: this.#computeUnread(),
        waited: Math.round(times.waited),
      },
      ...{ held: Math.round(times.held), sendings: this.#attemptCount },
      ...{ target: target.record.incarnation, calls: target.load.countCalls(now, 1) },
    });
  }
}
