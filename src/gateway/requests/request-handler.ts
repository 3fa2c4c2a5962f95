/** Handles a caller's request from its head until {@link Forwarding} takes over, or answers it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type Clock,
  InvariantError,
  type Log,
  type Random,
  type TextMetrics,
} from '../../kernel/index.js';
import { RouteTime, type RouteTimeState } from '../../balance/index.js';
import { findRequestMemory } from '../../overload/index.js';
import { HEADERS, readHeader } from '../../platform/index.js';
import { announceClose } from '../../proxy/closing-answers.js';
import { type Route, type RouteTable, TrafficSplitter } from '../../routing/index.js';
import type { QuotaTicket } from '../quota/quota-ticket.js';
import { type LocalAnswer, writeLocalAnswer } from './answers.js';
import { type CallerIdentity, KeyRejectionLog, authenticate } from './authentication.js';
import { Backlog, type BacklogCall, type BacklogOptions } from './backlog.js';
import { LatencyBudgets } from './latency-budget.js';
import { hasCallerLeft, watchDisconnect } from './caller-disconnect.js';
import type { CarriedTerms } from '../carrying/carried-terms.js';
import type { CarryService } from '../carrying/carry-service.js';
import {
  CallDispatch,
  type CallOrigin,
  type DispatchContext,
  FROM_CALLER,
} from './call-dispatch.js';
import type { ForwardingCounts, RoutedRequest } from './routed-request.js';
import {
  NO_MEMORY_ANSWER,
  buildCommonHeaders,
  checkRequest,
  isContinueExpected,
  isCostly,
  readBody,
} from './request-reader.js';
import type { EventLoopMonitor } from '../event-loop-monitor.js';
import type { LearnedState, LearnedRouteState } from '../learned-state.js';
import { type OutgoingBody, getBodyLength } from './outgoing-request.js';
import type { PoisonRegistry } from './poison-registry.js';
import { type QuotaGate, applyQuota } from './quota-admission.js';
import { RequestIdentity } from './request-identity.js';
import { RequestLog } from './request-log.js';
import { sendUnservedAnswer } from './unserved-answer.js';
import type { TargetSet } from '../targets/target-set.js';

/** Dependencies of the request handler. */
export interface RequestHandlerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly targets: TargetSet;
  readonly metrics: TextMetrics;
  readonly poison: PoisonRegistry;
  readonly quotas: QuotaGate;
  /** The daemons that may carry calls, and the key that they share with this one. */
  readonly carryService: Pick<CarryService, 'pool' | 'fleetKey'>;
  readonly eventLoop: BacklogOptions['eventLoop'] & Pick<EventLoopMonitor, 'readLateness'>;
  /** Called when an invariant is broken. */
  readonly onInvariantViolation: (error: Error) => void;
  /** The configuration in force; undefined while this daemon has none that it may serve by. */
  readonly readTable: () => RouteTable | undefined;
  /** Whether requests that need a key are rejected, as the configuration is unconfirmed. */
  readonly isUnconfirmed: () => boolean;
}

/** Retry-After while the daemon has no configuration, or the route no service, in milliseconds. */
const STARTING_RETRY_AFTER_MS = 300;

/** Retry-After of a daemon that stops, in milliseconds; the caller is to use another one. */
const STOPPING_RETRY_AFTER_MS = 20;

/** Longest time that a request is held, whatever its caller and its route state, in milliseconds. */
const MAX_HOLD_MS = 60_000;

/** The answer to a request that a daemon which stops does not take. */
const STOPPING_ANSWER: LocalAnswer = {
  ...{ kind: 'not-run', reason: 'stopping', retryAfter: STOPPING_RETRY_AFTER_MS },
};

/** A longer backlog shows that this daemon is busy. */
const MAX_CALM_BACKLOG = 16;

/** A request that was matched to a route and a service. */
interface AdmittedRequest {
  readonly kind: 'admitted';
  readonly table: RouteTable;
  readonly route: Route;
  readonly service: string;
  /** The terms of a call that another daemon has sent here to be carried. */
  readonly carried: CarriedTerms | undefined;
  /** Who sends it; undefined where requests need no key. */
  readonly identity: CallerIdentity | undefined;
}

/** A request that is answered without looking for a target. */
interface RejectedRequest {
  readonly kind: 'turned-away';
  readonly answer: LocalAnswer;
  /** Whether its connection may carry further requests. */
  readonly keepsConnection: boolean;
}

/** The id and the times of a request, computed when its head was read. */
type RequestTimes = Pick<
  RoutedRequest,
  'id' | 'headReadAt' | 'estimatedArrivalAt' | 'aimAt' | 'deadline'
>;

type TimedRequest = AdmittedRequest & RequestTimes & { readonly ticket: QuotaTicket };

function createRejected(answer: LocalAnswer, keepsConnection: boolean): RejectedRequest {
  return { kind: 'turned-away', answer, keepsConnection };
}

function readOrigin(carried: CarriedTerms | undefined): CallOrigin {
  if (carried === undefined) return FROM_CALLER;
  const { attempts, isCounted, isPaid } = carried;
  return { isCarried: true, attempts, isCounted, isPaid };
}

/** Returns the IP address of the caller. */
function findCaller(request: IncomingMessage, carried: CarriedTerms | undefined): string {
  return carried?.caller ?? request.socket.remoteAddress ?? '';
}

/**
 * Returns the service that another daemon has chosen for a call, so that each service of a split
 * gets its part; undefined if the route does not name it here.
 */
function findCarriedService(route: Route, carried: CarriedTerms | undefined): string | undefined {
  return route.shares.find(({ service }) => service === carried?.service)?.service;
}

/** Handles the requests of one daemon. */
export class RequestHandler {
  /** Counters over all requests. */
  readonly counts: ForwardingCounts = {
    ...{ answered: 0, failed: 0, notRun: 0, unknown: 0, gone: 0, retries: 0, hedges: 0 },
  };

  readonly #splitter: TrafficSplitter;

  readonly #backlog: Backlog;

  readonly #keyRejections: KeyRejectionLog;

  readonly #latencyBudgets = new LatencyBudgets();

  readonly #routeTimes = new Map<string, RouteTime>();

  #learnedRoutes: LearnedState['routes'] = new Map();

  /** Requests that are handled later are refused. */
  #acceptedUntil = Infinity;

  /** Whether requests that are at no target are refused. */
  #isClosing = false;

  /** The calls in progress. */
  readonly #dispatches = new Set<CallDispatch>();

  constructor(private readonly options: RequestHandlerOptions) {
    this.#splitter = new TrafficSplitter(() => options.random.next());
    this.#backlog = new Backlog(options);
    this.#keyRejections = new KeyRejectionLog(options);
  }

  /**
   * Refuses requests that are handled after a time of the clock, so that callers use another daemon,
   * because this one stops.
   */
  acceptUntil(time: number): void {
    this.#acceptedUntil = time;
  }

  /** Refuses all requests that are at no target, as this daemon is about to end. */
  refuseWaiting(): void {
    this.#isClosing = true;
    this.#backlog.refuseAll(STOPPING_RETRY_AFTER_MS);
    for (const dispatch of this.#dispatches) dispatch.stopWaiting('stopping');
  }

  /** Uses the stored learned state of routes as the prior of their estimates. */
  restoreLearnedState(learnedRoutes: LearnedState['routes']): void {
    this.#learnedRoutes = learnedRoutes;
    for (const [name, routeTime] of this.#routeTimes) {
      const learned = learnedRoutes.get(name);
      if (learned !== undefined) routeTime.setPrior(learned);
    }
  }

  /** Number of requests that were read and not started. */
  get backlogSize(): number {
    return this.#backlog.size;
  }

  /** Whether more requests wait to be started than come in one iteration of a calm event loop. */
  get isBusy(): boolean {
    return this.#backlog.size > MAX_CALM_BACKLOG;
  }

  /** Describes the estimates of each route, by its name. */
  describeRouteTimes(): Readonly<Record<string, RouteTimeState>> {
    const now = this.options.clock.now();
    return Object.fromEntries(
      [...this.#routeTimes].map(([name, routeTime]) => [name, routeTime.describe(now)] as const),
    );
  }

  /** Returns what this daemon has learnt about routes. */
  readLearnedState(): LearnedState['routes'] {
    const { clock } = this.options;
    const learnedRoutes = new Map<string, LearnedRouteState>();
    for (const [name, routeTime] of this.#routeTimes) {
      if (!routeTime.hasEnoughSamples) continue;
      const { work, spread, samples, age } = routeTime.describe(clock.now());
      learnedRoutes.set(name, { work, spread, samples, at: clock.wall() - age });
    }
    return learnedRoutes;
  }

  /**
   * Handles a request whose head was read: answers it at once, or adds it to the backlog.
   *
   * @param estimatedArrivalAt when it is estimated to have arrived, on the kernel's clock
   * @param carried the terms of a call that another daemon has sent here to be carried
   */
  handle(
    request: IncomingMessage,
    response: ServerResponse,
    estimatedArrivalAt: number,
    carried?: CarriedTerms,
  ): void {
    const admission = this.#findRoute(request, carried);
    if (admission.kind === 'turned-away') {
      this.#sendRejection(request, response, admission);
      return;
    }
    const times = this.#computeTimes(request, admission, estimatedArrivalAt);
    const call = {
      ...{ organisation: admission.identity?.organisation, isCarried: carried !== undefined },
      hasCallerLeft: () => hasCallerLeft(request, response),
      start: (ticket: QuotaTicket) =>
        this.#addToBacklog(request, response, { ...admission, ...times, ticket }),
      refuse: (retryAfter: number) => {
        const answer = { kind: 'over-quota', retryAfter } as const;
        this.#sendRejection(request, response, createRejected(answer, true));
      },
      drop: () => this.#drop(response),
    };
    applyQuota(this.options.quotas, call, this.options.onInvariantViolation);
  }

  /** Has the request wait for this daemon's CPU. */
  #addToBacklog(request: IncomingMessage, response: ServerResponse, admitted: TimedRequest): void {
    if (isContinueExpected(request)) response.writeContinue();
    const { route, ticket, estimatedArrivalAt, aimAt, deadline } = admitted;
    const { clock } = this.options;
    const routeTime = this.#findRouteTime(route.name);
    const memory = findRequestMemory(request);
    const call: BacklogCall = {
      ...{ estimatedArrivalAt, aimAt, deadline, priority: route.priority },
      isSecondary: isCostly(request),
      // Only the wait in the backlog may cause a refusal here, so a call time without evidence
      // counts as 0.
      get work() {
        return routeTime.hasEvidence(clock.now()) ? routeTime.readWork() : 0;
      },
      get spread() {
        return routeTime.readSpread();
      },
      ...{ isWorkKnown: true, mayBeRefused: true },
      hasCallerLeft: () => hasCallerLeft(request, response),
      start: () => {
        if (memory !== undefined) memory.onEvict = undefined;
        this.#serve(request, response, admitted).catch((error: Error) =>
          this.#handleError(response, admitted.id, error),
        );
      },
      refuse: (wait) => {
        ticket.giveBack();
        this.#refuse(response, admitted, wait);
      },
      drop: () => {
        ticket.giveBack();
        this.#drop(response);
      },
    };
    if (memory !== undefined) {
      memory.onEvict = () => {
        if (!this.#backlog.remove(call)) return;
        ticket.giveBack();
        this.#sendRejection(request, response, createRejected(NO_MEMORY_ANSWER, true));
      };
    }
    this.#backlog.add(call);
  }

  /** Ends a request whose caller has left. */
  #drop(response: ServerResponse): void {
    this.counts.gone += 1;
    response.destroy();
  }

  /**
   * Ends a request whose handling threw. Other requests go on, those of its connection included,
   * unless its answer has begun or an invariant is broken.
   */
  #handleError(response: ServerResponse, id: string, error: Error): void {
    const { log, metrics, onInvariantViolation } = this.options;
    if (error instanceof InvariantError) {
      onInvariantViolation(error);
      return;
    }
    log.error('request.broken', { error: error.stack ?? error.message });
    metrics.count('requests_broken');
    if (response.headersSent) {
      response.destroy();
      return;
    }
    // It may have run.
    this.counts.unknown += 1;
    writeLocalAnswer(response, id, { kind: 'unknown', reason: 'lost' });
  }

  /** Reads the body and serves the request until it is answered or given up. */
  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    admitted: TimedRequest,
  ): Promise<void> {
    const memory = findRequestMemory(request);
    const result = await readBody(request, {
      ...{ limits: admitted.table.limits, clock: this.options.clock },
      ...{ deadline: admitted.deadline, memory },
    });
    if (result.kind === 'gone' || hasCallerLeft(request, response)) {
      admitted.ticket.giveBack();
      return;
    }
    if (result.kind === 'refused') {
      admitted.ticket.giveBack();
      this.#sendRejection(request, response, createRejected(result.answer, false));
      return;
    }
    if (this.#isClosing) {
      admitted.ticket.giveBack();
      this.#sendRejection(request, response, createRejected(STOPPING_ANSWER, true));
      return;
    }
    const routed = this.#createRouted(request, result.body, admitted);
    const context = this.#createContext(admitted.route);
    const dispatch = new CallDispatch(context, routed, response, readOrigin(admitted.carried));
    const stopWatching = watchDisconnect(request, response, () => dispatch.cancel());
    this.#dispatches.add(dispatch);
    if (memory !== undefined) memory.onEvict = () => dispatch.stopWaiting('no-memory');
    try {
      await dispatch.run();
    } finally {
      this.#dispatches.delete(dispatch);
      stopWatching();
    }
  }

  #createContext(route: Route): DispatchContext {
    const { clock, log, metrics, poison, eventLoop, carryService } = this.options;
    const { pool, fleetKey } = carryService;
    return {
      ...{ clock, log, metrics, poison, pool, fleetKey, counts: this.counts },
      readLateness: (since) => eventLoop.readLateness(since),
      routeTime: this.#findRouteTime(route.name),
    };
  }

  /** Answers that the request would be started too late. */
  #refuse(response: ServerResponse, admitted: TimedRequest, wait: number): void {
    const answer = { kind: 'not-run', reason: 'busy', retryAfter: wait } as const;
    const service = { name: admitted.service };
    const now = this.options.clock.now();
    const log = new RequestLog(this.options, { ...admitted, service });
    sendUnservedAnswer({ id: admitted.id, response, log, counts: this.counts }, answer, {
      forecast: { turnIn: wait, slowdown: 1, hasFreeSlot: false },
      routeTime: this.#findRouteTime(admitted.route.name).describe(now),
      timeLeft: admitted.deadline - now,
    });
  }

  /**
   * Computes the times of a request. They count from its estimated arrival, so the time that it was
   * unread has passed already.
   */
  #computeTimes(
    request: IncomingMessage,
    { route, carried }: AdmittedRequest,
    estimatedArrivalAt: number,
  ): RequestTimes {
    const statedTime = Number(readHeader(request.headers, HEADERS.timeLeft));
    const maxTime = Math.min(statedTime > 0 ? statedTime : MAX_HOLD_MS, route.timeout, MAX_HOLD_MS);
    return {
      ...{ id: readHeader(request.headers, HEADERS.requestId) ?? '', estimatedArrivalAt },
      headReadAt: this.options.clock.now(),
      aimAt:
        estimatedArrivalAt +
        (carried?.aimLeft ?? this.#latencyBudgets.read(route, statedTime, estimatedArrivalAt)),
      deadline: estimatedArrivalAt + maxTime,
    };
  }

  /** Finds the route and the service of a request, by its head alone. */
  #findRoute(
    request: IncomingMessage,
    carried: CarriedTerms | undefined,
  ): AdmittedRequest | RejectedRequest {
    const table = this.options.readTable();
    if (table === undefined) {
      const answer = {
        kind: 'not-run',
        reason: 'starting',
        retryAfter: STARTING_RETRY_AFTER_MS,
      } as const;
      return createRejected(answer, true);
    }
    // What is handled later may have been sent later, however late this daemon is.
    if (this.#isClosing || this.options.clock.now() > this.#acceptedUntil) {
      return createRejected(STOPPING_ANSWER, true);
    }
    const refusal = checkRequest(request, table.limits, carried !== undefined);
    if (refusal !== undefined) return createRejected(refusal, false);
    const [path = '/'] = (request.url ?? '/').split('?', 1);
    const [host = ''] = (request.headers.host ?? '').split(':', 1);
    const route = table.findRoute(host, path);
    if (route === undefined) return createRejected({ kind: 'no-route' }, true);
    const { isUnconfirmed } = this.options;
    const authentication = authenticate(request, { table, route, isUnconfirmed }, carried);
    if (authentication.kind === 'rejected') {
      const { answer } = authentication;
      if (answer.kind === 'unauthenticated') {
        const caller = findCaller(request, carried);
        this.#keyRejections.record({ caller, route: route.name, reason: answer.reason });
      }
      return createRejected(answer, true);
    }
    const { identity } = authentication;
    const service = findCarriedService(route, carried) ?? this.#splitter.pick(route);
    if (service === undefined) {
      const answer = {
        kind: 'not-run',
        reason: 'no-target',
        retryAfter: STARTING_RETRY_AFTER_MS,
      } as const;
      return createRejected(answer, true);
    }
    return { kind: 'admitted', table, route, service, carried, identity };
  }

  #sendRejection(
    request: IncomingMessage,
    response: ServerResponse,
    rejected: RejectedRequest,
  ): void {
    const id = readHeader(request.headers, HEADERS.requestId) ?? '';
    const { answer, keepsConnection } = rejected;
    // A caller that waits for `100 Continue` may send the body or not, so that its next request
    // could not be told from the body.
    if (!keepsConnection || isContinueExpected(request)) announceClose(response);
    this.options.log.info('request.refused', { id, told: answer.kind, path: request.url });
    writeLocalAnswer(response, id, answer);
  }

  #createRouted(
    request: IncomingMessage,
    body: OutgoingBody,
    admitted: TimedRequest,
  ): RoutedRequest {
    const { id, route, headReadAt, estimatedArrivalAt, aimAt, deadline } = admitted;
    const { identity, ticket } = admitted;
    const commonHeaders = buildCommonHeaders(request, identity);
    const outgoing = {
      ...{ method: request.method ?? 'GET', path: request.url ?? '/' },
      ...{ body, bodyBytes: getBodyLength(body) ?? 0 },
    };
    const memory = findRequestMemory(request);
    const { host = '' } = request.headers;
    const caller = findCaller(request, admitted.carried);
    return {
      ...{ organisation: identity?.organisation, credential: identity?.credential, ticket },
      ...{ id, route, headReadAt, estimatedArrivalAt, aimAt, deadline, caller, ...outgoing },
      ...{ memory, isCostly: isCostly(request) },
      service: this.options.targets.getService(admitted.service),
      identity: new RequestIdentity({ ...outgoing, host, caller }),
      // Servers may ignore headers beyond a number, so those of this daemon go first.
      buildHeaders: (hopHeaders) => [...hopHeaders, ...commonHeaders],
    };
  }

  #findRouteTime(route: string): RouteTime {
    const known = this.#routeTimes.get(route);
    if (known !== undefined) return known;
    const routeTime = new RouteTime();
    const learned = this.#learnedRoutes.get(route);
    if (learned !== undefined) routeTime.setPrior(learned);
    this.#routeTimes.set(route, routeTime);
    return routeTime;
  }
}
