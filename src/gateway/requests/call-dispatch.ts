/**
 * Takes one call along the path that is chosen for it: to a target over this daemon's own
 * connections, by way of another daemon, or to a refusal.
 */
import type { ServerResponse } from 'node:http';
import { type CallPath, chooseCallPath } from '../../balance/index.js';
import { Carrying, type CarryingContext } from '../carrying/carrying.js';
import { CallProgress } from './call-progress.js';
import { Forwarding, type WaitingEnd } from './forwarding.js';
import type { ForwardingContext, RoutedRequest } from './routed-request.js';
import { RequestLog } from './request-log.js';
import { type UnservedAnswer, sendUnservedAnswer } from './unserved-answer.js';

/** Dependencies of the dispatch. */
export interface DispatchContext extends ForwardingContext, CarryingContext {}

/** Where a call comes from. */
export interface CallOrigin {
  /** Whether another daemon has sent it here to be carried. */
  readonly isCarried: boolean;
  /** Attempts that may have reached a target before. */
  readonly attempts: number;
  /** Whether another daemon has counted it for its retry budget. */
  readonly isCounted: boolean;
  /** Whether another daemon has taken the repeat from its retry budget, if it is one. */
  readonly isPaid: boolean;
}

/** The origin of a call that comes from its caller. */
export const FROM_CALLER: CallOrigin = {
  ...{ isCarried: false, attempts: 0, isCounted: false, isPaid: false },
};

/** Retry-After of a call that no daemon can serve: a daemon may reach targets again by then. */
const UNREACHED_RETRY_AFTER_MS = 300;

/** One call on its way. */
export class CallDispatch {
  readonly #progress: CallProgress;

  #stage: { cancel(): void; stopWaiting(reason: WaitingEnd): void } | undefined;

  #waitingEnd: WaitingEnd | undefined;

  constructor(
    private readonly context: DispatchContext,
    private readonly request: RoutedRequest,
    private readonly response: ServerResponse,
    private readonly origin: CallOrigin,
  ) {
    const isRepeatable = request.route.kind === 'repeatable';
    this.#progress = new CallProgress(isRepeatable, origin.attempts, origin.isCounted);
  }

  /** Ends the call because its caller has left. */
  cancel(): void {
    this.#stage?.cancel();
  }

  /** Gives the call up as soon as it is at no target. */
  stopWaiting(reason: WaitingEnd): void {
    this.#waitingEnd = reason;
    this.#stage?.stopWaiting(reason);
  }

  /**
   * Serves the call until it is answered or given up. Returns its token of the quota when it has not
   * run.
   */
  async run(): Promise<void> {
    try {
      await this.#serve();
    } finally {
      if (!this.#progress.ledger.mayHaveRun) this.request.ticket.giveBack();
    }
  }

  async #serve(): Promise<void> {
    const { attempts, isPaid } = this.origin;
    if (attempts > 0 && !isPaid && !this.request.service.retryBudget.spend()) {
      this.#refuse('no-retry-left');
      return;
    }
    for (;;) {
      if (this.#waitingEnd !== undefined) {
        this.#refuse(this.#waitingEnd);
        return;
      }
      const path = this.#choosePath();
      switch (path) {
        case 'direct':
          if ((await this.#sendDirectly()) === 'finished') return;
          break;
        case 'carry':
          if ((await this.#carry()) === 'finished') return;
          this.#progress.isCarriedInVain = true;
          break;
        case 'refuse':
          this.#refuse('unreached');
          return;
        default:
          path satisfies never;
      }
    }
  }

  #choosePath(): CallPath {
    const { service, route } = this.request;
    const { connectionFailures, isExhausted, isCarriedInVain } = this.#progress;
    const { pool, fleetKey } = this.context;
    const hasCarrier = () => {
      if (isCarriedInVain) return false;
      if (fleetKey.value === undefined) fleetKey.refresh().catch(() => undefined);
      return (
        fleetKey.value !== undefined &&
        pool.hasCarrier({ service: service.name, regions: route.regions, tried: new Set() })
      );
    };
    return chooseCallPath({
      ...{ isReached: service.isReached, connectionFailures, isExhausted, hasCarrier },
      isCarried: this.origin.isCarried,
    });
  }

  #sendDirectly(): Promise<'finished' | 'unreached'> {
    const { context, request, response } = this;
    const forwarding = new Forwarding(context, request, response, {
      progress: this.#progress,
      choosePath: () => this.#choosePath(),
    });
    this.#stage = forwarding;
    return forwarding.run();
  }

  #carry(): Promise<'finished' | 'returned'> {
    const carrying = new Carrying(this.context, this.request, this.#progress, this.response);
    this.#stage = carrying;
    return carrying.run();
  }

  #refuse(reason: 'unreached' | 'no-retry-left' | WaitingEnd): void {
    const { response, context } = this;
    const { counts, metrics } = context;
    const { id, service } = this.request;
    const answer: UnservedAnswer = this.#progress.ledger.mayHaveRun
      ? { kind: 'unknown', reason: 'lost' }
      : { kind: 'not-run', reason, retryAfter: UNREACHED_RETRY_AFTER_MS };
    if (reason === 'unreached') metrics.count('calls_without_carrier', { service: service.name });
    const log = new RequestLog(context, this.request);
    sendUnservedAnswer({ id, response, log, counts }, answer);
  }
}
