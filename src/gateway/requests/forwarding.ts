/**
 * Serves one request: chooses a target, monitors the attempt, and retries or hedges the request at
 * another target where that is allowed and worthwhile.
 *
 * On every path: a request that may not be repeated is sent again only after each earlier attempt
 * was shown not to have run; `not-run` is answered only when no attempt may have run; and a request
 * that is given up is answered at once.
 */
import type { ServerResponse } from 'node:http';
import type { Timer } from '../../kernel/index.js';
import {
  type CallPath,
  CallRunTime,
  type FirstAttempt,
  isQuicker,
  isStuck,
  findSecondAttemptReason,
} from '../../balance/index.js';
import { HEADERS } from '../../platform/index.js';
import { watchUpload } from '../../proxy/upload-watch.js';
import type { TargetAnswer } from './answer-reader.js';
import { forwardAnswer } from './answers.js';
import {
  type AttemptOutcome,
  MIN_FAILURE_STATUS,
  type RunningAttempt,
  startTargetAttempt,
} from './attempt.js';
import type { CallProgress } from './call-progress.js';
import { isResendable } from './outgoing-request.js';
import { type RefusalBasis, RequestLog } from './request-log.js';
import { type UnservedAnswer, sendUnservedAnswer } from './unserved-answer.js';
import type { ForwardingContext, RoutedRequest } from './routed-request.js';
import { createSlotCall } from './slot-call.js';
import { countTrial, recordCallTime } from './call-time.js';
import type {
  CallForecast,
  SuspectConstraints,
  PlacementRefusal,
  PlacementResult,
  SlotCall,
} from '../targets/slot-queue.js';
import type { GatewayTarget } from '../targets/target.js';

/** An event that a request in progress reacts to. */
type ForwardingEvent =
  | { readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly outcome: AttemptOutcome }
  | { readonly kind: 'placed'; readonly placement: PlacementResult }
  | { readonly kind: 'look' }
  | { readonly kind: 'targets-lost' }
  | { readonly kind: 'slow-upload' }
  /** Nothing but a running attempt may answer the call any more. */
  | { readonly kind: 'waiting-over' }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'gone' };

/** Interval between checks whether a hedge to another target would be quicker, in milliseconds. */
const MIN_HEDGE_CHECK_INTERVAL_MS = 40;

/**
 * For longer calls, the interval is this fraction of their expected time: a hedge that much later
 * makes no difference.
 */
const HEDGE_CHECK_FRACTION = 0.1;

/** No attempt is started with less time left than this, in milliseconds. */
const MIN_ATTEMPT_TIME_MS = 5;

/**
 * Retry-After for a request that a target rejected while no call is queued, in milliseconds. Other
 * targets have free slots, so nothing has to end first, and the caller's retry doesn't count
 * against the fleet's retry budget. After a longer wait its answer would be late.
 */
const REJECTED_RETRY_AFTER_MS = 20;

/**
 * Statuses that promise a caller that its request did not run. Only the gateway may send them,
 * after checking that this is true.
 */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

type LossOutcome = Extract<AttemptOutcome, { kind: 'lost' | 'full' }>;

/** Why a request ends without a target's answer. */
type GiveUpReason = PlacementRefusal | 'timeout' | 'lost' | 'poison' | 'slow-upload' | WaitingEnd;

/** Why a call that is at no target is given up: the daemon is about to end, or holds too much. */
export type WaitingEnd = 'stopping' | 'no-memory';

/** How forwarding ended: the call was answered or given up, or no target can be reached from here. */
export type ForwardingEnd = 'finished' | 'unreached';

/** What forwarding shares with the other paths of the call. */
export interface ForwardingOptions {
  readonly progress: CallProgress;
  /** Returns the path that the call should take now. */
  readonly choosePath: () => CallPath;
}

/** Releases a slot that was assigned and will not be used. */
function releaseSlot(result: PlacementResult): void {
  if (result.kind === 'target') result.target.load.finish();
}

/** Serves one request. */
export class Forwarding {
  readonly #log: RequestLog;

  readonly #runningAttempts = new Set<RunningAttempt>();

  readonly #triedTargets = new Set<GatewayTarget>();

  readonly #events: ForwardingEvent[] = [];

  #wake: () => void = () => undefined;

  #timers: Timer[] = [];

  #uploadWatch: Timer | undefined;

  #isFinished = false;

  /** Why no other attempt is started; undefined while one may be. */
  #waitingEnd: WaitingEnd | undefined;

  /** Whether the call leaves for another path. */
  #isLeaving = false;

  readonly #runTime: CallRunTime;

  /** The call in the service's queue, while it waits there. */
  #queuedCall: SlotCall | undefined;

  /** Restrictions on where the request may be placed; set once a target has ended under it. */
  #suspectConstraints: SuspectConstraints | undefined;

  readonly #onTargetSlow = () => this.#pushEvent({ kind: 'look' });

  readonly #onTargetsLost = () => this.#pushEvent({ kind: 'targets-lost' });

  constructor(
    private readonly context: ForwardingContext,
    private readonly request: RoutedRequest,
    private readonly response: ServerResponse,
    private readonly options: ForwardingOptions,
  ) {
    this.#log = new RequestLog(context, request);
    this.#runTime = new CallRunTime(context.routeTime, context.clock, this.#isRepeatable);
  }

  get #isRepeatable(): boolean {
    return this.request.route.kind === 'repeatable';
  }

  /** Serves the request until it is answered or given up, or has to leave for another path. */
  async run(): Promise<ForwardingEnd> {
    const { clock } = this.context;
    const { request } = this;
    const { progress } = this.options;
    request.service.recordCall(progress.isCounted);
    progress.isCounted = true;
    request.service.lostListeners.add(this.#onTargetsLost);
    this.#timers.push(
      clock.schedule(request.deadline - clock.now(), () => this.#pushEvent({ kind: 'deadline' })),
    );
    try {
      this.#askForTarget();
      if (this.#isRepeatable) this.#scheduleHedgeCheck();
      await this.#handleEvents();
      return this.#isLeaving ? 'unreached' : 'finished';
    } finally {
      request.service.lostListeners.delete(this.#onTargetsLost);
      this.#isFinished = true;
      this.#runTime.finish();
      for (const event of this.#events) this.#discardEvent(event);
      for (const timer of this.#timers) timer.cancel();
      this.#uploadWatch?.cancel();
      for (const target of this.#triedTargets) target.slowListeners.delete(this.#onTargetSlow);
      if (this.#queuedCall !== undefined) request.service.queue.remove(this.#queuedCall);
      for (const attempt of this.#runningAttempts) attempt.abort();
    }
  }

  /** Cancels the request because its caller has left. */
  cancel(): void {
    for (const attempt of this.#runningAttempts) attempt.abort();
    this.#pushEvent({ kind: 'gone' });
  }

  /** Gives the request up, now or when its running attempts have failed. */
  stopWaiting(reason: WaitingEnd): void {
    this.#waitingEnd = reason;
    this.#pushEvent({ kind: 'waiting-over' });
  }

  async #handleEvents(): Promise<void> {
    while (!this.response.writableEnded && !this.response.destroyed && !this.#isLeaving) {
      const event = await this.#waitForEvent();
      if (this.response.headersSent && this.#discardEvent(event)) continue;
      switch (event.kind) {
        case 'ended':
          this.#runningAttempts.delete(event.attempt);
          this.request.service.queue.pump();
          this.#handleOutcome(event.attempt, event.outcome);
          break;
        case 'placed':
          this.#handlePlacement(event.placement);
          break;
        case 'look':
          this.#tryHedge();
          break;
        case 'targets-lost':
          this.#handleTargetsLost();
          break;
        case 'waiting-over':
          if (this.#runningAttempts.size === 0) this.#giveUp(this.#waitingEnd ?? 'stopping');
          break;
        case 'slow-upload':
          this.context.metrics.count('uploads_too_slow', { service: this.request.service.name });
          this.#giveUp('slow-upload');
          break;
        case 'deadline':
          // An answer that is being forwarded ends by itself.
          if (!this.response.headersSent) this.#giveUp('timeout');
          return;
        case 'gone':
          if (!this.response.writableFinished) this.context.counts.gone += 1;
          return;
        default:
          event satisfies never;
      }
    }
  }

  /**
   * Releases what an event has brought that comes after the answer. Returns whether nothing else is
   * to be done about it.
   */
  #discardEvent(event: ForwardingEvent): boolean {
    switch (event.kind) {
      case 'ended':
        if (event.outcome.kind === 'answered') event.outcome.answer.rest?.destroy();
        this.#runningAttempts.delete(event.attempt);
        this.request.service.queue.pump();
        return true;
      case 'placed':
        releaseSlot(event.placement);
        return true;
      case 'look':
      case 'targets-lost':
      case 'slow-upload':
      case 'waiting-over':
        return true;
      case 'deadline':
      case 'gone':
        return false;
      default:
        return event satisfies never;
    }
  }

  #pushEvent(event: ForwardingEvent): void {
    this.#events.push(event);
    this.#wake();
  }

  async #waitForEvent(): Promise<ForwardingEvent> {
    for (;;) {
      const next = this.#events.shift();
      if (next !== undefined) return next;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  /** Asks the service's queue for a target; the attempt starts when there is one. */
  #askForTarget(): void {
    const { request } = this;
    const { clock } = this.context;
    if (this.#waitingEnd !== undefined) {
      this.#giveUp(this.#waitingEnd);
      return;
    }
    if (this.options.choosePath() !== 'direct') {
      // An attempt after another one has been taken from the retry budget already.
      this.options.progress.isRepeatPaid = this.options.progress.attemptCount > 0;
      this.#isLeaving = true;
      return;
    }
    if (!this.#mayBeSent()) return;
    const call = createSlotCall(request, this.#runTime, {
      ...{ tried: this.#triedTargets, suspect: this.#suspectConstraints },
      ...{ isRepeatable: this.#isRepeatable },
      isUnsent: this.options.progress.attemptCount === 0,
    });
    if (request.deadline - clock.now() < MIN_ATTEMPT_TIME_MS) {
      this.#giveUp('timeout');
      return;
    }
    const result = request.service.queue.take(call);
    if ('kind' in result) {
      this.#handlePlacement(result);
      return;
    }
    this.#queuedCall = call;
    result
      .then((placed) => {
        if (this.#isFinished) releaseSlot(placed);
        else this.#pushEvent({ kind: 'placed', placement: placed });
      })
      .catch((error: Error) => this.context.log.error('request.broken', { error: error.message }));
  }

  /**
   * Leaves for another path when the targets are lost: at once if nothing was sent, and with a
   * repeatable call if another daemon may carry it. Otherwise an answer may still come.
   */
  #handleTargetsLost(): void {
    const path = this.options.choosePath();
    if (path === 'direct' || this.response.headersSent) return;
    if (this.#runningAttempts.size === 0) {
      this.#isLeaving = true;
      return;
    }
    if (path !== 'carry' || !this.#isRepeatable || !this.#mayRepeat()) return;
    if (!this.request.ticket.takeRepeat()) return;
    this.options.progress.isRepeatPaid = this.request.service.retryBudget.spend();
    this.#isLeaving = true;
  }

  /** Whether the request may be sent. Gives it up when it is held out as a poison request. */
  #mayBeSent(): boolean {
    const decision = this.context.poison.check(this.request);
    switch (decision.kind) {
      case 'clear':
        this.#suspectConstraints = undefined;
        return true;
      case 'suspect':
        this.#suspectConstraints = decision;
        return true;
      case 'held':
        this.#giveUp('poison', decision.wait);
        return false;
      default:
        return decision satisfies never;
    }
  }

  /** Starts an attempt at the assigned target, or answers that there is none. */
  #handlePlacement(result: PlacementResult): void {
    this.#queuedCall = undefined;
    const timeLeft = this.request.deadline - this.context.clock.now();
    if (result.kind === 'refused' && result.reason === 'no-target' && this.#mayLeaveExhausted()) {
      this.#isLeaving = true;
      return;
    }
    if (result.kind === 'refused') {
      this.#giveUp(result.reason, result.wait, result.forecast);
      return;
    }
    if (timeLeft < MIN_ATTEMPT_TIME_MS) {
      releaseSlot(result);
      this.#giveUp('timeout');
      return;
    }
    // The request may have become a suspect, or been cleared, while it waited.
    if (this.#mayBeSent()) this.#startAttempt(result.target, timeLeft);
    else releaseSlot(result);
  }

  /** Whether another daemon may have a connection where this one found none. */
  #mayLeaveExhausted(): boolean {
    const { progress, choosePath } = this.options;
    progress.isExhausted = progress.connectionFailures > 0;
    return choosePath() !== 'direct';
  }

  #startAttempt(target: GatewayTarget, timeLeft: number): void {
    const { request } = this;
    this.#triedTargets.add(target);
    this.options.progress.attemptCount += 1;
    this.#log.recordAttempt();
    this.options.progress.ledger.recordSent();
    request.memory?.recordForwarded();
    if (target.advertisedRate.isLimited) {
      this.context.metrics.count('limited_calls', { service: request.service.name });
    }
    const attempt = startTargetAttempt(
      target,
      {
        ...{ requestId: request.id, method: request.method, path: request.path },
        headers: request.buildHeaders([
          ...[HEADERS.timeLeft, String(Math.max(1, Math.floor(timeLeft)))],
          ...[HEADERS.expectedIncarnation, target.record.incarnation],
        ]),
        ...{ body: request.body, memory: request.memory },
      },
      { isRepeatable: this.#isRepeatable, clock: this.context.clock },
    );
    this.#runningAttempts.add(attempt);
    this.#watchUpload();
    if (this.#suspectConstraints !== undefined) this.#watchSuspect(attempt);
    if (this.#isRepeatable) target.slowListeners.add(this.#onTargetSlow);
    attempt.done
      .then((outcome) => this.#pushEvent({ kind: 'ended', attempt, outcome }))
      .catch((error: Error) => this.context.log.error('request.broken', { error: error.message }));
  }

  /** Ends the request when its caller sends the body too slowly while other calls wait. */
  #watchUpload(): void {
    const { body, service } = this.request;
    if (body.kind !== 'stream' || body.request === undefined) return;
    this.#uploadWatch = watchUpload({
      ...{ clock: this.context.clock, request: body.request },
      hasWaitingCalls: () => service.queue.size > 0,
      onTooSlow: () => this.#pushEvent({ kind: 'slow-upload' }),
    });
  }

  /**
   * While a suspect runs, keeps copies of it from being sent and other suspects away from its
   * target.
   */
  #watchSuspect({ target, done }: RunningAttempt): void {
    const { poison, log } = this.context;
    poison.recordStart(this.request, target);
    target.suspectCalls += 1;
    const finish = () => {
      target.suspectCalls -= 1;
      poison.recordFinish(this.request);
    };
    done
      .then(finish)
      .catch((error: Error) => log.error('request.broken', { error: error.message }));
  }

  #handleOutcome(attempt: RunningAttempt, outcome: AttemptOutcome): void {
    const { target } = attempt;
    switch (outcome.kind) {
      case 'answered':
        this.#handleAnswer(attempt, outcome.answer);
        return;
      case 'not-connected':
        this.options.progress.ledger.recordNotRun();
        this.options.progress.attemptCount -= 1;
        this.options.progress.connectionFailures += 1;
        target.recordFailure(false);
        this.#log.logFailure(attempt, outcome.kind, outcome.reason);
        if (this.#runningAttempts.size === 0) this.#askForTarget();
        return;
      case 'withdrawn':
        this.options.progress.ledger.recordNotRun();
        this.options.progress.attemptCount -= 1;
        this.context.metrics.count('calls_withdrawn', { service: this.request.service.name });
        if (this.#runningAttempts.size === 0) this.#askForTarget();
        return;
      case 'not-run':
        this.options.progress.ledger.recordNotRun();
        target.recordFailure(false);
        this.#log.logFailure(attempt, outcome.kind, outcome.cause);
        this.#tryAgain('no-room');
        return;
      case 'lost':
        target.recordFailure(true);
        this.#log.logFailure(attempt, outcome.kind, outcome.reason, {
          ended: outcome.hasTargetEnded,
          fingerprints: this.request.identity.fingerprints,
        });
        this.#recordLoss(attempt, outcome);
        this.#tryAgain('lost');
        return;
      case 'full':
        target.full.recordReset(attempt.startedAt, outcome.calls);
        this.#log.logFailure(attempt, outcome.kind, outcome.reason);
        this.#recordLoss(attempt, outcome);
        this.#tryAgain('lost');
        return;
      case 'cancelled':
        if (!outcome.isSent) this.options.progress.ledger.recordNotRun();
        return;
      default:
        outcome satisfies never;
    }
  }

  /**
   * Records that a target ended under the request, or arranges for it if that is found out later.
   */
  #recordLoss({ target, startedAt }: RunningAttempt, outcome: LossOutcome): void {
    const { poison, clock } = this.context;
    const { id, route, service, path, identity } = this.request;
    // This object is kept for some seconds, so it must not hold the body.
    const lost = { id, route, service, path, fingerprints: identity.fingerprints };
    const times = { startedAt, lostAt: clock.now() };
    const onEnded = () => poison.recordTargetEnd(lost, target, times);
    if (outcome.kind === 'lost' && outcome.hasTargetEnded) onEnded();
    else target.recordLoss({ onEnded, isFull: outcome.kind === 'full' });
  }

  #handleAnswer(attempt: RunningAttempt, answer: TargetAnswer): void {
    const { target } = attempt;
    const isFailure = answer.status >= MIN_FAILURE_STATUS;
    // A failing target may have answered before it began to run the request, so that clears no
    // request.
    if (!isFailure && answer.rest === undefined) this.context.poison.recordAnswer(this.request);
    if (isFailure) {
      target.recordFailure(true);
      this.#log.logFailure(attempt, 'failed', `status ${answer.status}`);
      if (this.#isRepeatable && this.#runningAttempts.size > 0) {
        answer.rest?.destroy();
        return;
      }
      if (this.#isRepeatable && this.#spendRetry()) {
        answer.rest?.destroy();
        this.context.counts.retries += 1;
        this.#askForTarget();
        return;
      }
    } else {
      target.recordSuccess();
      recordCallTime(this.context, this.request.service, this.#runTime, attempt);
    }
    if (NOT_RUN_STATUSES.has(answer.status) || !answer.isSigned) {
      answer.rest?.destroy();
      this.#sendLocalAnswer({ kind: 'unknown', reason: 'lost' });
      return;
    }
    if (isFailure) this.context.counts.failed += 1;
    else this.context.counts.answered += 1;
    this.#log.logAnswer(attempt, this.context.routeTime.readWork());
    if (answer.end.framing === 'close') this.#log.logUndelimitedAnswer(attempt, answer);
    for (const other of this.#runningAttempts) other.abort();
    forwardAnswer(this.response, answer, {
      ...{ clock: this.context.clock, deadline: this.request.deadline },
      onCut: (reason) => this.#log.logCutAnswer(reason),
    });
  }

  /** Retries the request after a failed attempt, or gives it up. */
  #tryAgain(reason: 'no-room' | 'lost'): void {
    if (this.#runningAttempts.size > 0) return;
    const isAllowed = this.#isRepeatable || !this.options.progress.ledger.mayHaveRun;
    if (isAllowed && this.#spendRetry()) {
      this.context.counts.retries += 1;
      this.#askForTarget();
      return;
    }
    this.#giveUp(reason);
  }

  /**
   * Whether one more attempt is allowed, by the route's limit, the organisation's quota and the
   * fleet's retry budget; takes it from both.
   */
  #spendRetry(): boolean {
    const { service, ticket } = this.request;
    if (!this.#mayRepeat()) return false;
    const { mayHaveRun } = this.options.progress.ledger;
    if (mayHaveRun && !ticket.takeRepeat()) return false;
    if (service.spendRetry(this.#triedTargets)) return true;
    if (mayHaveRun) ticket.giveBackRepeat();
    return false;
  }

  /** Whether the route and the body allow one more attempt. */
  #mayRepeat(): boolean {
    const { route, body } = this.request;
    if (this.options.progress.attemptCount >= route.maxAttempts) return false;
    return isResendable(body);
  }

  #scheduleHedgeCheck(): void {
    const { clock, routeTime } = this.context;
    this.#timers.push(
      clock.schedule(
        Math.max(MIN_HEDGE_CHECK_INTERVAL_MS, HEDGE_CHECK_FRACTION * routeTime.readWork()),
        () => {
          this.#pushEvent({ kind: 'look' });
          this.#scheduleHedgeCheck();
        },
      ),
    );
    if (this.#timers.length > 2) this.#timers = [this.#timers[0], ...this.#timers.slice(-1)];
  }

  /**
   * Starts a hedge when the running attempt is expected to be late and another target to be
   * quicker.
   */
  #tryHedge(): void {
    const { clock, routeTime } = this.context;
    const { route, service, aimAt, deadline, bodyBytes } = this.request;
    const [attempt] = this.#runningAttempts;
    if (this.#runningAttempts.size !== 1 || attempt === undefined) return;
    if (this.#waitingEnd !== undefined) return;
    if (
      this.options.progress.attemptCount >= route.maxAttempts ||
      this.#suspectConstraints !== undefined
    )
      return;
    const now = clock.now();
    const { slowdownHistory } = attempt.target;
    const pattern = service.readSlowdownParameters();
    const work = routeTime.readWork();
    const first: FirstAttempt = {
      ...{ work, elapsed: now - attempt.startedAt },
      ...{ slowdown: slowdownHistory.estimate(attempt.startedAt, pattern), slow: pattern.slow },
      spread: routeTime.readSpread(),
    };
    if (isStuck(first)) attempt.target.recordStuckCall();
    const times = { untilAim: aimAt - now, untilDeadline: deadline - now };
    const hedgeReason = findSecondAttemptReason(first, times);
    if (hedgeReason === 'none') return;
    // A hedge takes a slot. While other calls wait for one, it is worthwhile only if it frees a
    // slot that would be occupied for long.
    if (service.queue.size > 0 && hedgeReason !== 'rescue') return;
    const choice = service.chooseTarget(
      { tried: this.#triedTargets, work, bodyBytes, regions: route.regions },
      0,
    );
    if (choice.kind !== 'now') return;
    const { candidate: target, load } = choice;
    if (!isQuicker(first, load.slowdown, times)) return;
    if (!this.#spendRetry()) return;
    this.context.counts.hedges += 1;
    target.start(now);
    this.#startAttempt(target, deadline - now);
  }

  /** Ends the request without a target's answer. */
  #giveUp(reason: GiveUpReason, wait = 0, forecast?: CallForecast): void {
    if (reason === 'timeout' && this.#runningAttempts.size > 0 && this.request.service.isReached) {
      this.#runTime.recordTimeout();
      countTrial(this.context, this.request.service, this.#runTime, 'timeout');
    }
    for (const attempt of this.#runningAttempts) attempt.abort();
    if (!this.options.progress.ledger.mayHaveRun) {
      this.options.progress.ledger.assertNotRun();
      this.#sendLocalAnswer(
        { kind: 'not-run', reason, retryAfter: wait > 0 ? wait : this.#chooseRetryAfter() },
        forecast && this.#describeRefusal(forecast),
      );
      return;
    }
    const isLate = reason === 'timeout' || reason === 'slow-upload';
    this.#sendLocalAnswer({ kind: 'unknown', reason: isLate ? 'timeout' : 'lost' });
  }

  /** Chooses when a caller may retry, where the queue gave no time. */
  #chooseRetryAfter(): number {
    const { service } = this.request;
    const backoff = service.readBackoffRemaining();
    if (backoff !== undefined) return backoff;
    const isRejected = this.options.progress.attemptCount > 0 && service.queue.size === 0;
    // Some target will have finished a call within the time of one call.
    return isRejected ? REJECTED_RETRY_AFTER_MS : this.context.routeTime.readWork();
  }

  #describeRefusal(forecast: CallForecast): RefusalBasis {
    const { clock, routeTime } = this.context;
    const now = clock.now();
    return {
      ...{ forecast, routeTime: routeTime.describe(now) },
      timeLeft: this.request.deadline - now,
    };
  }

  #sendLocalAnswer(answer: UnservedAnswer, basis?: RefusalBasis): void {
    const { request, response, context } = this;
    sendUnservedAnswer(
      { id: request.id, response, log: this.#log, counts: context.counts },
      answer,
      basis,
    );
  }
}
