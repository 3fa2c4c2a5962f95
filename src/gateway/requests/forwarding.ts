/**
 * Serves one request: picks a target, watches over the attempt, and where it is allowed and worth it
 * repeats the request at another target.
 *
 * What holds on every path: a request that may not be repeated is sent again only after each earlier
 * sending was shown not to have run; *not run* is said only when no sending may have run; and a
 * request that is given up gets its answer at once.
 */
import type { ServerResponse } from 'node:http';
import type { Clock, Log, TextMetrics, Timer } from '../../kernel/index.js';
import { SendLedger } from '../../proxy/ledger.js';
import type { Route } from '../../routing/index.js';
import {
  type FirstAttempt,
  type RouteTime,
  isQuicker,
  isStuck,
  findSecondAttemptReason,
} from '../../balance/index.js';
import { type Told, writeAnswer, writeTold } from './answers.js';
import {
  type AttemptOutcome,
  SERVER_ERROR,
  type RunningAttempt,
  type Sending,
  type TargetAnswer,
  startTargetAttempt,
} from './attempt.js';
import { RequestLog } from './request-log.js';
import type { PoisonRegistry } from './poison-registry.js';
import type { RequestIdentity } from './request-identity.js';
import type {
  SuspectConstraints,
  PlacementRefusal,
  PlacementResult,
  SlotCall,
} from '../targets/slot-queue.js';
import type { GatewayTarget } from '../targets/target.js';
import type { TargetService } from '../targets/target-service.js';

/** A request that was read and found its route. */
export interface RoutedRequest {
  readonly id: string;
  readonly route: Route;
  readonly service: TargetService;
  /** When its head was read, on the kernel's clock. */
  readonly arrivedAt: number;
  /** When it is estimated to have come, on the same clock. */
  readonly cameAt: number;
  /** When an answer that leaves here stops to be fully useful to the caller. */
  readonly aimAt: number;
  /** When it is given up. */
  readonly deadline: number;
  readonly method: string;
  readonly path: string;
  /** What makes another try the same request. */
  readonly identity: RequestIdentity;
  readonly body: Sending['body'];
  /** Length of the body, as far as it is known. */
  readonly bodyBytes: number;
  /** Builds the headers for a target, given the time left. */
  readonly buildHeaders: (target: GatewayTarget, timeLeft: number) => readonly string[];
}

/** What forwarding uses besides the request. */
export interface ForwardingContext {
  readonly clock: Clock;
  readonly log: Log;
  /** What the requests of this route have taught of their work. */
  readonly routeTime: RouteTime;
  readonly counts: ForwardingCounts;
  readonly metrics: TextMetrics;
  /** Knows the requests under which targets end. */
  readonly poison: PoisonRegistry;
}

/** Counters over all requests. */
export interface ForwardingCounts {
  answered: number;
  failed: number;
  notRun: number;
  unknown: number;
  gone: number;
  retries: number;
  hedges: number;
}

/** What can happen while a request is served. */
type Happening =
  | { readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly outcome: AttemptOutcome }
  | { readonly kind: 'placed'; readonly answer: PlacementResult }
  | { readonly kind: 'look' }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'gone' };

/** How often a request that may be repeated looks whether another target would be quicker. */
const LOOK_PACE = 40;

/** Where its work takes long, it looks this part of that apart: a tenth later matters to nobody. */
const LOOK_PART = 0.1;

/** From this expected slowdown on it is not sure that a target was quick. */
const SURELY_QUICK = 1.5;

/** No attempt is begun with less time left than this, in milliseconds. */
const LEAST_TIME = 5;

/**
 * When a caller may return whose request a target rejected, though no call waits for one, in milliseconds. Nothing
 * has to end first: others have room, and what it sends anew takes nothing of the fleet's budget for repeats. Later
 * its answer would be late.
 */
const REJECTED_RETURN = 20;

/** Statuses that promise a caller that its request did not run; only we may say so, with proof. */
const PROMISES = new Set([408, 421, 429, 503]);

/** Why a request is ended without a target's answer. */
type GivingUp = PlacementRefusal | 'timeout' | 'lost' | 'poison';

/** Gives back a slot that is not used after all. */
function giveBack(answer: PlacementResult): void {
  if (answer.kind === 'target') answer.target.load.finish();
}

/** Serves one request. */
export class Forwarding {
  readonly #ledger: SendLedger;

  readonly #log: RequestLog;

  readonly #running = new Set<RunningAttempt>();

  readonly #tried = new Set<GatewayTarget>();

  readonly #happenings: Happening[] = [];

  #wake: () => void = () => undefined;

  #sendings = 0;

  #timers: Timer[] = [];

  #isOver = false;

  /** The call in the service's queue, while it waits there. */
  #waiting: SlotCall | undefined;

  /** How carefully the request is placed, when targets have ended under it. */
  #care: SuspectConstraints | undefined;

  readonly #onSlow = () => this.#happen({ kind: 'look' });

  constructor(
    private readonly context: ForwardingContext,
    private readonly request: RoutedRequest,
    private readonly response: ServerResponse,
  ) {
    this.#ledger = new SendLedger(this.#isRepeatable);
    this.#log = new RequestLog(context, request);
  }

  get #isRepeatable(): boolean {
    return this.request.route.kind === 'repeatable';
  }

  /** Serves the request to its end. */
  async run(): Promise<void> {
    const { clock } = this.context;
    const { request } = this;
    request.service.recordCall();
    this.#timers.push(
      clock.schedule(request.deadline - clock.now(), () => this.#happen({ kind: 'deadline' })),
    );
    try {
      this.#begin();
      if (this.#isRepeatable) this.#lookLater();
      await this.#follow();
    } finally {
      this.#isOver = true;
      for (const happening of this.#happenings) {
        if (happening.kind === 'placed') giveBack(happening.answer);
      }
      for (const timer of this.#timers) timer.cancel();
      for (const target of this.#tried) target.slowListeners.delete(this.#onSlow);
      if (this.#waiting !== undefined) request.service.queue.remove(this.#waiting);
      for (const attempt of this.#running) attempt.abort();
    }
  }

  /** Gives the request up, because its caller has left. */
  leave(): void {
    for (const attempt of this.#running) attempt.abort();
    this.#happen({ kind: 'gone' });
  }

  async #follow(): Promise<void> {
    while (!this.response.writableEnded && !this.response.destroyed) {
      const happening = await this.#nextHappening();
      switch (happening.kind) {
        case 'ended':
          this.#running.delete(happening.attempt);
          this.request.service.queue.pump();
          this.#conclude(happening.attempt, happening.outcome);
          break;
        case 'placed':
          this.#place(happening.answer);
          break;
        case 'look':
          this.#considerHedge();
          break;
        case 'deadline':
          this.#giveUp('timeout');
          return;
        case 'gone':
          this.context.counts.gone += 1;
          return;
        default:
          happening satisfies never;
      }
    }
  }

  #happen(happening: Happening): void {
    this.#happenings.push(happening);
    this.#wake();
  }

  async #nextHappening(): Promise<Happening> {
    for (;;) {
      const next = this.#happenings.shift();
      if (next !== undefined) return next;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  /** Asks for a target; the attempt starts when there is one. */
  #begin(): void {
    const { request } = this;
    const { clock, routeTime } = this.context;
    if (!this.#isAllowed()) return;
    const work = routeTime.readWork();
    const call: SlotCall = {
      priority: request.route.priority,
      aimAt: Math.min(request.aimAt, request.deadline),
      deadline: request.deadline,
      work,
      isWorkKnown: routeTime.isKnown,
      spread: routeTime.readSpread(),
      mayBeRefused: this.#sendings === 0,
      tried: this.#tried,
      bodyBytes: request.bodyBytes,
      regions: request.route.regions,
      suspect: this.#care,
    };
    if (request.deadline - clock.now() < LEAST_TIME) {
      this.#giveUp('timeout');
      return;
    }
    const answer = request.service.queue.take(call);
    if ('kind' in answer) {
      this.#place(answer);
      return;
    }
    this.#waiting = call;
    answer
      .then((placed) => {
        if (this.#isOver) giveBack(placed);
        else this.#happen({ kind: 'placed', answer: placed });
      })
      .catch((error: Error) => this.context.log.error('request.broken', { error: error.message }));
  }

  /** Whether the request may be sent; one under which targets end is given up. */
  #isAllowed(): boolean {
    const verdict = this.context.poison.judge(this.request);
    switch (verdict.kind) {
      case 'clear':
        this.#care = undefined;
        return true;
      case 'suspect':
        this.#care = verdict;
        return true;
      case 'held':
        this.#giveUp('poison', verdict.wait);
        return false;
      default:
        return verdict satisfies never;
    }
  }

  /** Starts an attempt at the target that was given, or tells the caller that there is none. */
  #place(answer: PlacementResult): void {
    this.#waiting = undefined;
    const left = this.request.deadline - this.context.clock.now();
    if (answer.kind === 'refused') {
      this.#giveUp(answer.reason, answer.wait);
      return;
    }
    if (left < LEAST_TIME) {
      giveBack(answer);
      this.#giveUp('timeout');
      return;
    }
    // What is known of the request may have changed while it waited.
    if (this.#isAllowed()) this.#start(answer.target, left);
    else giveBack(answer);
  }

  #start(target: GatewayTarget, left: number): void {
    const { request } = this;
    this.#tried.add(target);
    this.#sendings += 1;
    this.#log.noteSent();
    this.#ledger.recordSent();
    if (target.advertisedRate.isLimited) {
      this.context.metrics.count('limited_calls', { service: request.service.name });
    }
    const attempt = startTargetAttempt(
      target,
      {
        ...{ requestId: request.id, method: request.method, path: request.path },
        headers: request.buildHeaders(target, left),
        body: request.body,
      },
      { isRepeatable: this.#isRepeatable, clock: this.context.clock },
    );
    this.#running.add(attempt);
    if (this.#care !== undefined) this.#watchSuspect(attempt);
    if (this.#isRepeatable) target.slowListeners.add(this.#onSlow);
    attempt.done
      .then((outcome) => this.#happen({ kind: 'ended', attempt, outcome }))
      .catch((error: Error) => this.context.log.error('request.broken', { error: error.message }));
  }

  /** Keeps copies of a suspect from being sent, and other suspects from its target, while it runs. */
  #watchSuspect({ target, done }: RunningAttempt): void {
    const { poison, log } = this.context;
    poison.start(this.request, target);
    target.suspectCalls += 1;
    const finish = () => {
      target.suspectCalls -= 1;
      poison.finish(this.request);
    };
    done
      .then(finish)
      .catch((error: Error) => log.error('request.broken', { error: error.message }));
  }

  #conclude(attempt: RunningAttempt, outcome: AttemptOutcome): void {
    const { target } = attempt;
    switch (outcome.kind) {
      case 'answered':
        this.#takeAnswer(attempt, outcome.answer);
        return;
      case 'not-connected':
        this.#ledger.recordNotRun();
        this.#sendings -= 1;
        target.recordFailure();
        this.#log.tellFailure(attempt, outcome.kind, outcome.reason);
        if (this.#running.size === 0) this.#begin();
        return;
      case 'withdrawn':
        this.#ledger.recordNotRun();
        this.#sendings -= 1;
        this.context.metrics.count('calls_withdrawn', { service: this.request.service.name });
        if (this.#running.size === 0) this.#begin();
        return;
      case 'not-run':
        this.#ledger.recordNotRun();
        target.recordFailure();
        this.#log.tellFailure(attempt, outcome.kind, outcome.cause);
        this.#repeat('no-room');
        return;
      case 'lost':
        target.recordFailure();
        this.#log.tellFailure(attempt, outcome.kind, outcome.reason, {
          ended: outcome.isEnded,
          names: this.request.identity.fingerprints,
        });
        this.#noteLost(attempt, outcome.isEnded);
        this.#repeat('lost');
        return;
      case 'cancelled':
        if (!outcome.sent) this.#ledger.recordNotRun();
        return;
      default:
        outcome satisfies never;
    }
  }

  /** Notes that a target ended under the request, or that this may still turn out. */
  #noteLost({ target, startedAt }: RunningAttempt, isEnded: boolean): void {
    const { poison, clock } = this.context;
    const { id, route, service, path, identity } = this.request;
    // What is kept for a while holds no body.
    const lost = { id, route, service, path, names: identity.fingerprints };
    const times = { startedAt, lostAt: clock.now() };
    if (isEnded) poison.noteEnd(lost, target, times);
    else target.recordLoss(() => poison.noteEnd(lost, target, times));
  }

  #takeAnswer(attempt: RunningAttempt, answer: TargetAnswer): void {
    const { target } = attempt;
    const isFailure = answer.status >= SERVER_ERROR;
    // A target that fails what it gets may have answered before it began.
    if (!isFailure && answer.rest === undefined) this.context.poison.noteAnswer(this.request);
    if (isFailure) {
      target.recordFailure();
      this.#log.tellFailure(attempt, 'failed', `status ${answer.status}`);
      if (this.#isRepeatable && this.#running.size > 0) return;
      if (this.#isRepeatable && this.#mayRepeat()) {
        this.context.counts.retries += 1;
        this.#begin();
        return;
      }
    } else {
      target.recordSuccess();
      this.#learnTime(attempt);
    }
    if (PROMISES.has(answer.status) || !answer.isSigned) {
      this.#tell({ kind: 'unknown', reason: 'lost' });
      return;
    }
    if (isFailure) this.context.counts.failed += 1;
    else this.context.counts.answered += 1;
    this.#log.tellAnswer(attempt, this.context.routeTime.readWork());
    writeAnswer(this.response, answer);
  }

  /** Learns the route's work, and how much longer it takes at a target that is nearly full. */
  #learnTime(attempt: RunningAttempt): void {
    const { clock, routeTime } = this.context;
    const { service } = this.request;
    const now = clock.now();
    const { load: belief, record, slowdownHistory: trail } = attempt.target;
    const pattern = service.readPattern();
    const slowdown = trail.estimate(attempt.startedAt, pattern);
    const time = now - attempt.startedAt;
    const usual = routeTime.readWork();
    // How slow it was at the start is not sure otherwise, and a slow call would count for more work.
    if (slowdown > SURELY_QUICK) return;
    routeTime.recordRatio(time / (usual * slowdown));
    const running = (belief.lastReport?.running ?? belief.inFlight) + 1;
    const factor = service.knee.observe(
      time / slowdown / usual,
      [attempt.callsAtStart / record.slots, running / record.slots],
      now,
    );
    const work = time / slowdown / factor;
    routeTime.recordWork(work, now);
    service.recordWork(work);
  }

  /** Sends the request once more, after an attempt that brought nothing. */
  #repeat(reason: 'no-room' | 'lost'): void {
    if (this.#running.size > 0) return;
    const isAllowed = this.#isRepeatable || !this.#ledger.mayHaveRun;
    if (isAllowed && this.#mayRepeat()) {
      this.context.counts.retries += 1;
      this.#begin();
      return;
    }
    this.#giveUp(reason);
  }

  /** Whether one more target may get the request: the route's attempts, and the fleet's budget. */
  #mayRepeat(): boolean {
    const { route, service, body } = this.request;
    if (this.#sendings >= route.maxAttempts) return false;
    if (body !== undefined && !Buffer.isBuffer(body)) return false;
    return service.retryBudget.spend();
  }

  #lookLater(): void {
    const { clock, routeTime } = this.context;
    this.#timers.push(
      clock.schedule(Math.max(LOOK_PACE, LOOK_PART * routeTime.readWork()), () => {
        this.#happen({ kind: 'look' });
        this.#lookLater();
      }),
    );
    if (this.#timers.length > 2) this.#timers = [this.#timers[0], ...this.#timers.slice(-1)];
  }

  /** Begins a second attempt when the first is expected to be late and the second not to be. */
  #considerHedge(): void {
    const { clock, routeTime } = this.context;
    const { route, service, aimAt, deadline, bodyBytes } = this.request;
    const [attempt] = this.#running;
    if (this.#running.size !== 1 || attempt === undefined) return;
    if (this.#sendings >= route.maxAttempts || this.#care !== undefined) return;
    const now = clock.now();
    const { slowdownHistory: trail } = attempt.target;
    const pattern = service.readPattern();
    const work = routeTime.readWork();
    const first: FirstAttempt = {
      ...{ work, elapsed: now - attempt.startedAt },
      ...{ slowdown: trail.estimate(attempt.startedAt, pattern), slow: pattern.slow },
      spread: routeTime.readSpread(),
    };
    if (isStuck(first)) attempt.target.recordStuckCall();
    const times = { untilAim: aimAt - now, untilDeadline: deadline - now };
    const need = findSecondAttemptReason(first, times);
    if (need === 'none') return;
    // A second attempt takes a slot. While others wait for one it is worth it only if it frees one
    // that would be held for long.
    if (service.queue.size > 0 && need !== 'rescue') return;
    const advice = service.chooseTarget(
      { tried: this.#tried, work, bodyBytes, regions: route.regions },
      0,
    );
    if (advice.kind !== 'now') return;
    const { candidate: target, load: prospect } = advice;
    if (!isQuicker(first, prospect.slowdown, times)) return;
    if (!this.#mayRepeat()) return;
    this.context.counts.hedges += 1;
    target.start(now);
    this.#start(target, deadline - now);
  }

  /** Ends the request without a target's answer. */
  #giveUp(reason: GivingUp, wait = 0): void {
    for (const attempt of this.#running) attempt.abort();
    if (!this.#ledger.mayHaveRun) {
      this.#ledger.assertNotRun();
      this.#tell({ kind: 'not-run', reason, retryAfter: wait > 0 ? wait : this.#chooseReturn() });
      return;
    }
    this.#tell({ kind: 'unknown', reason: reason === 'timeout' ? 'timeout' : 'lost' });
  }

  /** When a caller may return whom the queue gave no time for that. */
  #chooseReturn(): number {
    const { service } = this.request;
    const backoff = service.readBackoffRemaining();
    if (backoff !== undefined) return backoff;
    const isRejected = this.#sendings > 0 && service.queue.size === 0;
    // Within the time of one call some target will have ended one.
    return isRejected ? REJECTED_RETURN : this.context.routeTime.readWork();
  }

  #tell(told: Told): void {
    const { counts } = this.context;
    if (told.kind === 'not-run') counts.notRun += 1;
    else counts.unknown += 1;
    this.#log.tellOwnAnswer(told);
    writeTold(this.response, this.request.id, told);
  }
}
