/**
 * Has one call carried by other daemons, one after the other, until one of them brings an answer.
 *
 * The carrier chooses the target, and keeps to its limits and the retry budget. This daemon only
 * passes on what it brings: a call that may not be repeated goes to another carrier only after it
 * was shown not to have run.
 */
import type { ServerResponse } from 'node:http';
import type { RouteTime } from '../../balance/index.js';
import type { Clock, Log, TextMetrics, Timer } from '../../kernel/index.js';
import { HEADERS } from '../../platform/index.js';
import { type KeyRejectionReason, forwardAnswer, writeLocalAnswer } from '../requests/answers.js';
import { MIN_FAILURE_STATUS, findMaxIdle } from '../requests/attempt.js';
import type { CallProgress } from '../requests/call-progress.js';
import { isResendable } from '../requests/outgoing-request.js';
import type { ForwardingCounts, RoutedRequest } from '../requests/routed-request.js';
import { RequestLog } from '../requests/request-log.js';
import { type UnservedAnswer, sendUnservedAnswer } from '../requests/unserved-answer.js';
import {
  type CarriedOutcome,
  type RunningCarriedAttempt,
  startCarriedAttempt,
} from './carried-attempt.js';
import {
  CARRIED_HEADER,
  type CarriedIdentity,
  UNAUTHORISED_REASON,
  composeCarriedHeader,
} from './carried-terms.js';
import type { Carrier, CarrierPool, CarrierRequest } from './carrier-pool.js';
import type { FleetKey } from './fleet-key.js';

/** Dependencies of carrying. */
export interface CarryingContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: TextMetrics;
  readonly pool: CarrierPool;
  readonly fleetKey: FleetKey;
  readonly routeTime: RouteTime;
  readonly counts: ForwardingCounts;
}

/** Whether the call was answered, or may still be tried on another path. */
export type CarryingEnd = 'finished' | 'returned';

/** The carrier gives up this long before this daemon does, so that its answer tells the outcome. */
const HOP_MARGIN_MS = 20;

/** No attempt is started with less time left than this, in milliseconds. */
const MIN_ATTEMPT_TIME_MS = 30;

/** Carriers that one call is sent to at most. */
const MAX_CARRIERS = 3;

/** Interval at which it is checked whether a carrier still answers, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** A repeatable call is sent to another carrier when no answer began within this time. */
const MIN_PATIENCE_MS = 1000;

/** For long calls, that time is this many times the expected one. */
const PATIENCE_FACTOR = 6;

/** One call that other daemons carry. */
export class Carrying {
  readonly #log: RequestLog;

  readonly #tried = new Set<string>();

  #running: RunningCarriedAttempt | undefined;

  #timer: Timer | undefined;

  #isGone = false;

  #isWaitingOver = false;

  constructor(
    private readonly context: CarryingContext,
    private readonly request: RoutedRequest,
    private readonly progress: CallProgress,
    private readonly response: ServerResponse,
  ) {
    this.#log = new RequestLog(context, request);
  }

  /** Ends the call because its caller has left. */
  cancel(): void {
    this.#isGone = true;
    this.#running?.abort('gone');
  }

  /** Sends the call to no other carrier. */
  stopWaiting(): void {
    this.#isWaitingOver = true;
  }

  /** Has the call carried until it is answered or no carrier is left. */
  async run(): Promise<CarryingEnd> {
    const { pool, clock, counts } = this.context;
    const { deadline } = this.request;
    while (this.#tried.size < MAX_CARRIERS && !this.#isWaitingOver) {
      if (deadline - clock.now() < MIN_ATTEMPT_TIME_MS) return this.#giveUp('timeout');
      const carrier = pool.choose(this.#createCarrierRequest());
      const key = this.context.fleetKey.value;
      if (carrier === undefined || key === undefined) return 'returned';
      this.#tried.add(carrier.ip);
      const startedAt = clock.now();
      const outcome = await this.#send(carrier, key);
      if (this.#isGone) {
        counts.gone += 1;
        return 'finished';
      }
      this.#logOutcome(carrier, outcome, clock.now() - startedAt);
      if (this.#handleOutcome(carrier, outcome)) return 'finished';
    }
    return 'returned';
  }

  async #send(carrier: Carrier, key: string): Promise<CarriedOutcome> {
    const { clock } = this.context;
    const { request, progress } = this;
    const { id: requestId, method, path, service, caller, aimAt, deadline } = request;
    const { body, memory } = request;
    const now = clock.now();
    const line = { carrier: carrier.ip, requestId, method, path };
    const terms = {
      ...{ service: service.name, caller, aimLeft: aimAt - now },
      ...{ attempts: progress.attemptCount, isCounted: progress.isCounted },
      isPaid: progress.isRepeatPaid,
      identity: this.#createIdentity(),
    };
    const timeLeft = Math.max(1, Math.floor(deadline - now - HOP_MARGIN_MS));
    const headers = request.buildHeaders([
      ...[HEADERS.timeLeft, String(timeLeft)],
      ...[CARRIED_HEADER, composeCarriedHeader(key, line, terms)],
    ]);
    const isRepeatable = request.route.kind === 'repeatable';
    progress.ledger.recordSent();
    memory?.recordForwarded();
    this.#running = startCarriedAttempt(
      carrier,
      { requestId, method, path, headers, body, memory },
      findMaxIdle(isRepeatable),
    );
    this.#scheduleCheck(this.#running, now);
    const outcome = await this.#running.done;
    this.#timer?.cancel();
    return outcome;
  }

  #createIdentity(): CarriedIdentity | undefined {
    const { organisation, credential } = this.request;
    if (organisation === undefined || credential === undefined) return undefined;
    return { organisation: organisation.name, ...credential };
  }

  /** Ends an attempt at the deadline, or when a repeatable call is better sent elsewhere. */
  #scheduleCheck(attempt: RunningCarriedAttempt, startedAt: number): void {
    const { clock, pool, routeTime } = this.context;
    const { route, deadline } = this.request;
    const patience = Math.max(MIN_PATIENCE_MS, PATIENCE_FACTOR * routeTime.readWork());
    const check = () => {
      const now = clock.now();
      if (now >= deadline) {
        attempt.abort('timeout');
        return;
      }
      const isImpatient = now - startedAt > patience || !pool.isListed(attempt.carrier);
      if (isImpatient && !attempt.hasHead && route.kind === 'repeatable' && this.#mayMoveOn()) {
        attempt.abort('silent');
        return;
      }
      this.#timer = clock.schedule(Math.min(CHECK_INTERVAL_MS, deadline - now), check);
    };
    check();
  }

  #mayMoveOn(): boolean {
    if (this.#isBodySpent() || this.#tried.size >= MAX_CARRIERS) return false;
    return this.context.pool.hasCarrier(this.#createCarrierRequest());
  }

  #createCarrierRequest(): CarrierRequest {
    const { service, route } = this.request;
    return { service: service.name, regions: route.regions, tried: this.#tried };
  }

  /** Applies an outcome; returns whether the call is answered. */
  #handleOutcome(carrier: Carrier, outcome: CarriedOutcome): boolean {
    const { pool, fleetKey } = this.context;
    const { ledger } = this.progress;
    switch (outcome.kind) {
      case 'answered':
        this.#forward(outcome);
        return true;
      case 'refused':
        ledger.recordNotRun();
        this.#refuse(outcome.reason, outcome.retryAfter);
        return true;
      case 'unauthenticated':
        ledger.recordNotRun();
        this.#reject(outcome.reason);
        return true;
      case 'returned':
        ledger.recordNotRun();
        pool.recordReturn(carrier, this.request.service.name);
        if (outcome.reason === UNAUTHORISED_REASON) fleetKey.refresh().catch(() => undefined);
        if (this.#isBodySpent()) this.#refuse('unreached', 0);
        return this.#isBodySpent();
      case 'not-connected':
        ledger.recordNotRun();
        pool.recordFailure(carrier);
        return false;
      case 'unknown':
        this.#answer({ kind: 'unknown', reason: outcome.reason });
        return true;
      case 'lost':
        return this.#handleLoss(carrier, outcome.reason);
      default:
        return outcome satisfies never;
    }
  }

  /** Moves on to another carrier, if that is allowed. */
  #handleLoss(carrier: Carrier, reason: string): boolean {
    const { clock, pool } = this.context;
    const { route, deadline } = this.request;
    this.progress.attemptCount += 1;
    this.progress.isCounted = true;
    if (clock.now() >= deadline) {
      this.#giveUp('timeout');
      return true;
    }
    // After the head it is the answer that failed, and not its carrier.
    if (reason !== 'silent' && this.#running?.hasHead !== true) pool.recordFailure(carrier);
    const mayRepeat =
      route.kind === 'repeatable' &&
      !this.#isBodySpent() &&
      this.progress.attemptCount < route.maxAttempts &&
      this.request.ticket.takeRepeat();
    if (mayRepeat) this.progress.isRepeatPaid = this.request.service.retryBudget.spend();
    else this.#answer({ kind: 'unknown', reason: 'lost' });
    return !mayRepeat;
  }

  /** Whether the body was streamed, so that it can't be sent again. */
  #isBodySpent(): boolean {
    return !isResendable(this.request.body);
  }

  #forward({ answer }: Extract<CarriedOutcome, { readonly kind: 'answered' }>): void {
    const { counts } = this.context;
    if (answer.status >= MIN_FAILURE_STATUS) counts.failed += 1;
    else counts.answered += 1;
    forwardAnswer(this.response, answer, {
      ...{ clock: this.context.clock, deadline: this.request.deadline },
      onCut: (reason) => this.#log.logCutAnswer(reason),
    });
  }

  #giveUp(reason: 'timeout'): CarryingEnd {
    if (this.progress.ledger.mayHaveRun) this.#answer({ kind: 'unknown', reason });
    else this.#refuse(reason, 0);
    return 'finished';
  }

  #refuse(reason: string, retryAfter: number): void {
    const { ledger } = this.progress;
    if (ledger.mayHaveRun) {
      this.#answer({ kind: 'unknown', reason: 'lost' });
      return;
    }
    ledger.assertNotRun();
    this.#answer({ kind: 'not-run', reason, retryAfter });
  }

  /** Answers that the key is not known any more at the carrier, whose configuration is newer. */
  #reject(reason: KeyRejectionReason): void {
    if (this.progress.ledger.mayHaveRun) {
      this.#answer({ kind: 'unknown', reason: 'lost' });
      return;
    }
    const { request, response, context } = this;
    context.counts.notRun += 1;
    context.metrics.count('keys_rejected');
    writeLocalAnswer(response, request.id, { kind: 'unauthenticated', reason });
  }

  #answer(answer: UnservedAnswer): void {
    const { request, response, context } = this;
    sendUnservedAnswer(
      { id: request.id, response, log: this.#log, counts: context.counts },
      answer,
    );
  }

  #logOutcome(carrier: Carrier, outcome: CarriedOutcome, took: number): void {
    const { log, metrics } = this.context;
    const { id, service } = this.request;
    metrics.count('calls_carried', { service: service.name, outcome: outcome.kind });
    metrics.observe('carried_call_ms', { service: service.name }, took);
    log.info('call.carried', {
      ...{ id, service: service.name, by: carrier.ip, outcome: outcome.kind },
      ...{ reason: 'reason' in outcome ? outcome.reason : undefined, took: Math.round(took) },
    });
  }
}
