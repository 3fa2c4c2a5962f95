/** Log lines and counters of one request: each decision about it, with the figures behind it. */
import { type RouteTimeState, findLatenessCause } from '../../balance/index.js';
import type { Clock, Log, LogFields, TextMetrics } from '../../kernel/index.js';
import type { TargetAnswer } from './answer-reader.js';
import type { CutReason, LocalAnswer } from './answers.js';
import type { CallForecast } from '../targets/slot-queue.js';
import type { RunningAttempt } from './attempt.js';

/** The properties of a request that its log lines contain. */
export interface LoggedRequest {
  readonly id: string;
  readonly route: { readonly name: string };
  readonly service: { readonly name: string };
  /** When its head was read, in milliseconds on the kernel's clock. */
  readonly headReadAt: number;
  /** When it is estimated to have arrived at this machine; it was unread from then on. */
  readonly estimatedArrivalAt: number;
  /** Until when an answer that leaves this daemon is fully useful to the caller. */
  readonly aimAt: number;
}

/** Destinations of log lines and counters, and their clock. */
export interface RequestLogOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
}

/** The figures behind a refusal: what was expected of the call, and of calls of its route. */
export interface RefusalBasis {
  readonly forecast: CallForecast;
  readonly routeTime: RouteTimeState;
  /** Time until the call would have been given up, in milliseconds. */
  readonly timeLeft: number;
}

function describeBasis({ forecast, routeTime, timeLeft }: RefusalBasis): LogFields {
  const { work, spread, source, samples, age } = routeTime;
  return {
    ...{ time_left: Math.round(timeLeft), turn_in: Math.round(forecast.turnIn) },
    ...{ free: forecast.hasFreeSlot, slowdown: forecast.slowdown.toFixed(2) },
    ...{ work: Math.round(work), spread: spread.toFixed(2), source, samples },
    age: age < Infinity ? Math.round(age) : undefined,
  };
}

/** Logs one request. */
export class RequestLog {
  /** When it was first sent to a target; undefined before that. */
  #firstSentAt: number | undefined;

  #attemptCount = 0;

  constructor(
    private readonly options: RequestLogOptions,
    private readonly request: LoggedRequest,
  ) {}

  /** Records that the request is sent to a target. */
  recordAttempt(): void {
    this.#firstSentAt ??= this.options.clock.now();
    this.#attemptCount += 1;
  }

  /**
   * Logs an answer that the gateway generated.
   *
   * @param basis the figures behind it, where an estimate refused the request
   */
  logLocalAnswer(answer: LocalAnswer, basis?: RefusalBasis): void {
    const { clock, log, metrics } = this.options;
    const { id, route, service, headReadAt } = this.request;
    const now = clock.now();
    const reason = 'reason' in answer ? answer.reason : '';
    metrics.count('request_told', { service: service.name, told: answer.kind, reason });
    if (basis?.forecast.hasFreeSlot === true) {
      metrics.count('refused_with_free_slots', { service: service.name, reason });
    }
    log.info('request.told', {
      ...{ id, route: route.name, service: service.name, told: answer.kind },
      ...{ reason: 'reason' in answer ? answer.reason : undefined, sendings: this.#attemptCount },
      ...{
        unread: this.#computeUnread(),
        waited: Math.round((this.#firstSentAt ?? now) - headReadAt),
      },
      held: Math.round(now - headReadAt),
      retry_after: 'retryAfter' in answer ? Math.round(answer.retryAfter) : undefined,
      ...(basis && describeBasis(basis)),
    });
  }

  /**
   * Logs a target's answer that is forwarded.
   *
   * @param usual expected time of a call, in milliseconds
   */
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
   * Logs an attempt that brought no answer to forward.
   *
   * @param lost for an attempt that was sent and lost: whether its target ended, and the
   *   fingerprints of the request, since other tries of it have other ids
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

  /** Logs an answer that only the end of its connection ends, with the bytes that have arrived. */
  logUndelimitedAnswer({ target }: RunningAttempt, { end, rest }: TargetAnswer): void {
    const { log, metrics } = this.options;
    const { id, service } = this.request;
    metrics.count('answers_undelimited', { service: service.name });
    log.info('answer.undelimited', {
      ...{ id, service: service.name, target: target.record.incarnation },
      ...{ bytes: end.bodyBytes, streamed: rest !== undefined },
    });
  }

  /** Logs that a streamed answer was cut off. */
  logCutAnswer(reason: CutReason): void {
    const { log, metrics } = this.options;
    const { id, route, service } = this.request;
    metrics.count('answers_cut', { service: service.name, reason });
    log.info('answer.cut', { id, route: route.name, service: service.name, reason });
  }

  #computeUnread(): number {
    return Math.round(this.request.headReadAt - this.request.estimatedArrivalAt);
  }

  /** Logs an answer that is later than the target latency allows, and why. */
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
