/** Takes a caller's request from its head to the hands of {@link Forwarding}, or answers it at once. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Log, Random, TextMetrics } from '../../kernel/index.js';
import { RouteTime } from '../../balance/index.js';
import { HEADERS, readHeader } from '../../platform/index.js';
import { type Route, type RouteTable, TrafficSplitter } from '../../routing/index.js';
import { type Told, writeTold } from './answers.js';
import { Backlog, type BacklogOptions } from './backlog.js';
import { LatencyBudgets } from './latency-budget.js';
import { isCallerGone, watchLeaving } from './caller-disconnect.js';
import {
  Forwarding,
  type ForwardingContext,
  type ForwardingCounts,
  type RoutedRequest,
} from './forwarding.js';
import {
  type BodyResult,
  buildPassedHeaders,
  buildTargetHeaders,
  checkRequest,
  readBody,
} from './request-reader.js';
import type { LearnedState, LearnedRouteState } from '../learned-state.js';
import type { PoisonRegistry } from './poison-registry.js';
import { RequestIdentity } from './request-identity.js';
import { RequestLog } from './request-log.js';
import type { TargetSet } from '../targets/target-set.js';

/** What the reception is made from. */
export interface RequestHandlerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly targets: TargetSet;
  readonly metrics: TextMetrics;
  readonly poison: PoisonRegistry;
  readonly eventLoop: BacklogOptions['eventLoop'];
  /** Called when a request met a broken invariant. */
  readonly onInvariantViolation: (error: Error) => void;
  /** The configuration in force; undefined while this daemon may not serve by any. */
  readonly readTable: () => RouteTable | undefined;
}

/** When a caller may come back to a daemon that knows no configuration yet. */
const STARTING_RETRY = 300;

/** When a caller that was told to go elsewhere may do so. */
const STOPPING_RETRY = 20;

/** A request whose caller and route name no time is held this long at most. */
const LONGEST_HOLD = 60_000;

/** A request that found its route and service. */
interface Admitted {
  readonly kind: 'admitted';
  readonly table: RouteTable;
  readonly route: Route;
  readonly service: string;
}

/** A request that is answered without looking for a target. */
interface TurnedAway {
  readonly kind: 'turned-away';
  readonly told: Told;
  /** Whether its connection may carry another one. */
  readonly keepsConnection: boolean;
}

/** What is known of a request's times when it was read. */
type RequestTimes = Pick<RoutedRequest, 'id' | 'arrivedAt' | 'cameAt' | 'aimAt' | 'deadline'>;

type TimedRequest = Admitted & RequestTimes;

type WholeBody = Extract<BodyResult, { readonly kind: 'whole' | 'stream' }>;

function makeTurnedAway(told: Told, keepsConnection: boolean): TurnedAway {
  return { kind: 'turned-away', told, keepsConnection };
}

/** Returns the length that a request states; undefined when it comes in chunks. */
function readLength(request: IncomingMessage): number | undefined {
  const text = readHeader(request.headers, 'content-length');
  return text === undefined ? undefined : Number(text);
}

/** The reception of one daemon. */
export class RequestHandler {
  /** Counters over all requests. */
  readonly counts: ForwardingCounts = {
    ...{ answered: 0, failed: 0, notRun: 0, unknown: 0, gone: 0, retries: 0, hedges: 0 },
  };

  readonly #dealer: TrafficSplitter;

  readonly #backlog: Backlog;

  readonly #aims = new LatencyBudgets();

  readonly #routeTimes = new Map<string, RouteTime>();

  #lessons: LearnedState['routes'] = {};

  #isClosed = false;

  constructor(private readonly options: RequestHandlerOptions) {
    this.#dealer = new TrafficSplitter(() => options.random.next());
    this.#backlog = new Backlog(options);
  }

  /** From now on requests are told to go elsewhere, because this daemon stops. */
  close(): void {
    this.#isClosed = true;
  }

  /** Takes what others have learnt of routes. */
  restoreLearnedState(lessons: LearnedState['routes']): void {
    this.#lessons = lessons;
    for (const [name, routeTime] of this.#routeTimes) {
      const lesson = lessons[name];
      if (lesson !== undefined) routeTime.setPrior(lesson);
    }
  }

  /** Requests that were read and are not begun yet. */
  get backlogSize(): number {
    return this.#backlog.size;
  }

  /** What has been learnt here of routes. */
  readLearnedState(): LearnedState['routes'] {
    const lessons: Record<string, LearnedRouteState> = {};
    for (const [name, routeTime] of this.#routeTimes) {
      if (!routeTime.hasEnoughSamples) continue;
      lessons[name] = { work: routeTime.readWork(), spread: routeTime.readSpread() };
    }
    return lessons;
  }

  /**
   * Takes a request that was read: answers it at once, or lets it wait for its turn.
   *
   * @param cameAt when it is estimated to have come, on the clock
   */
  handle(request: IncomingMessage, response: ServerResponse, cameAt: number): void {
    const admission = this.#admit(request);
    if (admission.kind === 'turned-away') {
      this.#answer(request, response, admission);
      return;
    }
    const { route } = admission;
    const routeTime = this.#findRouteTime(route.name);
    const times = this.#readTimes(request, route, cameAt);
    this.#backlog.add({
      ...{ cameAt, aimAt: times.aimAt, deadline: times.deadline, priority: route.priority },
      // What a call takes at its target is not guessed here; its turn alone may come too late.
      ...{ work: routeTime.isKnown ? routeTime.readWork() : 0, isWorkKnown: true },
      ...{ spread: routeTime.readSpread(), mayBeRefused: true },
      isGone: () => isCallerGone(request, response),
      begin: () => {
        this.#serve(request, response, { ...admission, ...times }).catch(
          this.options.onInvariantViolation,
        );
      },
      refuse: (wait) => this.#refuse(response, { ...admission, ...times }, wait),
      drop: () => {
        this.counts.gone += 1;
        response.destroy();
      },
    });
  }

  /** Serves one request to its end. */
  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    admitted: TimedRequest,
  ): Promise<void> {
    const body = await readBody(request, admitted.table.limits);
    if (body.kind === 'gone' || isCallerGone(request, response)) return;
    if (body.kind === 'refused') {
      this.#answer(request, response, makeTurnedAway(body.told, false));
      return;
    }
    const routed = this.#route(request, body, admitted);
    const context = this.#makeContext(admitted.route);
    const forwarding = new Forwarding(context, routed, response);
    const unwatch = watchLeaving(request, response, () => forwarding.leave());
    try {
      await forwarding.run();
    } finally {
      unwatch();
    }
  }

  #makeContext(route: Route): ForwardingContext {
    const { clock, log, metrics, poison } = this.options;
    return {
      ...{ clock, log, metrics, poison, counts: this.counts },
      routeTime: this.#findRouteTime(route.name),
    };
  }

  /** Tells a caller that its turn would come too late. */
  #refuse(response: ServerResponse, admitted: TimedRequest, wait: number): void {
    const told = { kind: 'not-run', reason: 'busy', retryAfter: wait } as const;
    this.counts.notRun += 1;
    const service = { name: admitted.service };
    new RequestLog(this.options, { ...admitted, service }).tellOwnAnswer(told);
    writeTold(response, admitted.id, told);
  }

  /** Reads when an answer stops to be of use; the time that the request lay unread has passed already. */
  #readTimes(request: IncomingMessage, route: Route, cameAt: number): RequestTimes {
    const asked = Number(readHeader(request.headers, HEADERS.timeLeft));
    const allowed = Math.min(asked > 0 ? asked : LONGEST_HOLD, route.timeout, LONGEST_HOLD);
    return {
      ...{ id: readHeader(request.headers, HEADERS.requestId) ?? '', cameAt },
      arrivedAt: this.options.clock.now(),
      aimAt: cameAt + this.#aims.read(route, asked, cameAt),
      deadline: cameAt + allowed,
    };
  }

  /** Finds the route and the service of a request, by its head alone. */
  #admit(request: IncomingMessage): Admitted | TurnedAway {
    const table = this.options.readTable();
    if (table === undefined) {
      const told = { kind: 'not-run', reason: 'starting', retryAfter: STARTING_RETRY } as const;
      return makeTurnedAway(told, true);
    }
    if (this.#isClosed) {
      const told = { kind: 'not-run', reason: 'stopping', retryAfter: STOPPING_RETRY } as const;
      return makeTurnedAway(told, false);
    }
    const refusal = checkRequest(request, table.limits);
    if (refusal !== undefined) return makeTurnedAway(refusal, false);
    const [path = '/'] = (request.url ?? '/').split('?', 1);
    const [host = ''] = (request.headers.host ?? '').split(':', 1);
    const route = table.findRoute(host, path);
    if (route === undefined) return makeTurnedAway({ kind: 'no-route' }, true);
    const service = this.#dealer.pick(route);
    if (service === undefined) {
      const told = { kind: 'not-run', reason: 'no-target', retryAfter: STARTING_RETRY } as const;
      return makeTurnedAway(told, true);
    }
    return { kind: 'admitted', table, route, service };
  }

  #answer(request: IncomingMessage, response: ServerResponse, away: TurnedAway): void {
    const id = readHeader(request.headers, HEADERS.requestId) ?? '';
    const { told, keepsConnection } = away;
    if (!keepsConnection) response.shouldKeepAlive = false;
    this.options.log.info('request.refused', { id, told: told.kind, path: request.url });
    writeTold(response, id, told);
  }

  #route(request: IncomingMessage, body: WholeBody, admitted: TimedRequest): RoutedRequest {
    const { id, route, arrivedAt, cameAt, aimAt, deadline } = admitted;
    const passed = buildPassedHeaders(request);
    const length = body.kind === 'whole' ? body.data?.length : readLength(request);
    const sent = {
      ...{ method: request.method ?? 'GET', path: request.url ?? '/' },
      body: body.kind === 'whole' ? body.data : body.source,
      bodyBytes: length ?? 0,
    };
    const { host = '' } = request.headers;
    const caller = request.socket.remoteAddress ?? '';
    return {
      ...{ id, route, arrivedAt, cameAt, aimAt, deadline, ...sent },
      service: this.options.targets.getService(admitted.service),
      identity: new RequestIdentity({ ...sent, host, caller }),
      buildHeaders: (target, timeLeft) => buildTargetHeaders(passed, target, { timeLeft, length }),
    };
  }

  #findRouteTime(route: string): RouteTime {
    const known = this.#routeTimes.get(route);
    if (known !== undefined) return known;
    const routeTime = new RouteTime();
    const lesson = this.#lessons[route];
    if (lesson !== undefined) routeTime.setPrior(lesson);
    this.#routeTimes.set(route, routeTime);
    return routeTime;
  }
}
