/** The lines and counters of one request: each decision on it, with what it rested on. */
import { findLatenessCause } from '../../balance/index.js';
import type { Clock, Log, TextMetrics } from '../../kernel/index.js';
import type { Told } from './answers.js';
import type { RunningAttempt } from './attempt.js';

/** What all lines of a request name. */
export interface LoggedRequest {
  readonly id: string;
  readonly route: { readonly name: string };
  readonly service: { readonly name: string };
  /** When its head was read, on the kernel's clock. */
  readonly arrivedAt: number;
  /** When it is estimated to have come: it lay unread from then on. */
  readonly cameAt: number;
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
  #sentAt: number | undefined;

  #sendings = 0;

  constructor(
    private readonly options: RequestLogOptions,
    private readonly request: LoggedRequest,
  ) {}

  /** Notes that it is sent to a target. */
  noteSent(): void {
    this.#sentAt ??= this.options.clock.now();
    this.#sendings += 1;
  }

  /** Tells of an answer of ours. */
  tellOwnAnswer(told: Told): void {
    const { clock, log, metrics } = this.options;
    const { id, route, service, arrivedAt } = this.request;
    const now = clock.now();
    const reason = 'reason' in told ? told.reason : '';
    metrics.count('request_told', { service: service.name, told: told.kind, reason });
    log.info('request.told', {
      ...{ id, route: route.name, service: service.name, told: told.kind },
      ...{ reason: 'reason' in told ? told.reason : undefined, sendings: this.#sendings },
      ...{ unread: this.#readUnread(), waited: Math.round((this.#sentAt ?? now) - arrivedAt) },
      held: Math.round(now - arrivedAt),
      retry_after: 'retryAfter' in told ? Math.round(told.retryAfter) : undefined,
    });
  }

  /** Tells of a target's answer that is passed on. @param usual how long a call takes as expected */
  tellAnswer(attempt: RunningAttempt, usual: number): void {
    const { clock, log, metrics } = this.options;
    const { id, route, arrivedAt } = this.request;
    const { target, startedAt, timing } = attempt;
    const now = clock.now();
    metrics.observe('request_unread_ms', {}, this.#readUnread());
    metrics.observe('request_held_ms', { route: route.name }, now - arrivedAt);
    metrics.observe('attempt_head_ms', { route: route.name }, timing.head);
    this.#tellLateness(attempt, usual);
    log.debug('request.answered', {
      ...{ id, route: route.name, target: target.record.incarnation, sendings: this.#sendings },
      ...{
        unread: this.#readUnread(),
        before: Math.round(startedAt - arrivedAt),
        connect: Math.round(timing.connected),
      },
      ...{ head: Math.round(timing.head), held: Math.round(now - arrivedAt) },
      ...{ slowdown: target.load.lastSlowdown, calls: target.load.countCalls(now, 1) },
    });
  }

  /**
   * Tells of an attempt that brought no answer to pass on.
   *
   * @param lost for one that was sent and lost: whether its target ended, and what its request is known by, as tries
   *   of the same request have other ids
   */
  tellFailure(
    { target, startedAt, timing }: RunningAttempt,
    outcome: string,
    reason: string,
    lost?: { readonly ended: boolean; readonly names: readonly string[] },
  ): void {
    const { clock, log, metrics } = this.options;
    const { id, service } = this.request;
    const now = clock.now();
    metrics.count('attempt_failed', { service: service.name, outcome });
    log.info('attempt.failed', {
      ...{ id, service: service.name, target: target.record.incarnation, outcome, reason },
      ...{ ended: lost?.ended, request: lost?.names[0], alike: lost?.names.at(-1) },
      ...{
        took: Math.round(now - startedAt),
        connect: Math.round(timing.connected),
        calls: target.load.countCalls(now, 1),
      },
      report_age: Math.round(now - target.load.reportedAt),
      slowdown: target.load.lastSlowdown,
    });
  }

  #readUnread(): number {
    return Math.round(this.request.arrivedAt - this.request.cameAt);
  }

  /** Tells of an answer that comes after its aim, and why. */
  #tellLateness({ target }: RunningAttempt, usual: number): void {
    const { clock, log, metrics } = this.options;
    const { id, route, service, arrivedAt, aimAt } = this.request;
    const now = clock.now();
    const times = {
      ...{ aimLeft: aimAt - arrivedAt, waited: (this.#sentAt ?? now) - arrivedAt },
      ...{ held: now - arrivedAt, attempts: this.#sendings },
    };
    const why = findLatenessCause(times, usual);
    if (why === 'in-time') return;
    metrics.count('answers_late', { service: service.name, why });
    log.info('request.late', {
      ...{ id, route: route.name, service: service.name, why },
      ...{
        aim_left: Math.round(times.aimLeft),
        unread: this.#readUnread(),
        waited: Math.round(times.waited),
      },
      ...{ held: Math.round(times.held), sendings: this.#sendings },
      ...{ target: target.record.incarnation, calls: target.load.countCalls(now, 1) },
    });
  }
}
