/**
 * Serves one call: finds a slot, tries a target, and where it is allowed tries another one.
 *
 * Rules that hold for every path through this file: a call that may not be repeated is sent again
 * only after each earlier sending was shown not to have run, and *not run* is said only when no
 * sending is left without such a proof. Both are asserted where they matter.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type { Clock } from '../kernel/index.js';
import type { AttemptEnd, Pool, ShareBudget, Slot, SlotRequest, Target } from '../balance/index.js';
import type { ClassConfig } from '../config/index.js';
import type { Hold } from '../policy/index.js';
import { AnswerGate, type Attempt, type AttemptResult, startAttempt } from './attempt.js';
import { type Body, inviteBody, isReplayable } from './body.js';
import type { Call } from './call.js';
import { buildTargetHeaders } from './headers.js';
import { SendLedger } from './ledger.js';
import { type Outcome, createNotRun, createUnknown } from './outcome.js';

/** How a call ended, for logs and metrics. */
export type CallEnd =
  | { readonly kind: 'answered'; readonly status: number; readonly target: string }
  | { readonly kind: 'cut'; readonly target: string; readonly detail: string }
  | { readonly kind: 'told'; readonly outcome: Outcome }
  | { readonly kind: 'gone' };

/** The parts of a service that a call uses. */
export interface ForwardContext {
  readonly pool: Pool;
  readonly class: ClassConfig;
  readonly hold: Hold | undefined;
  readonly retries: ShareBudget;
  readonly hedges: ShareBudget;
  readonly clientOf: (target: Target) => Dispatcher;
  readonly clock: Clock;
  /** Called when a target says that it is leaving. */
  readonly onLeaving: (target: string) => void;
}

/** A call with its two streams. */
export interface Exchange {
  readonly call: Call;
  readonly body: Body;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborts when the caller goes away or the daemon ends the call. */
  readonly signal: AbortSignal;
}

/** What was spent on a call. */
export interface CallCost {
  retries: number;
  hedges: number;
  waited: number;
}

/** Reason of the signal that ends calls because the daemon stops. */
export const STOPPING = 'stopping';

const MAX_TRIES = 4;
const MIN_HEDGE_DELAY = 2;
const RETRIED_STATUS = new Set([502, 503, 504]);

function describeEnd(result: AttemptResult): AttemptEnd {
  switch (result.kind) {
    case 'relayed':
    case 'discarded':
      return { kind: 'answered', status: result.status };
    case 'not-run':
      return result.cause.kind === 'target-shed'
        ? { kind: 'not-run' }
        : { kind: 'failed', reason: result.cause.detail };
    case 'cut':
      return { kind: 'failed', reason: result.detail };
    case 'lost':
      return { kind: 'failed', reason: result.reason };
    case 'cancelled':
      return { kind: 'cancelled' };
    default:
      return result satisfies never;
  }
}

/** Serves calls of one service in one entry. */
export class Forwarder {
  readonly #ledger: SendLedger;

  readonly #gate = new AnswerGate();

  readonly #tried = new Set<Target>();

  readonly #deadline: number;

  readonly #running = new Set<Attempt>();

  #expired = false;

  /** What the call has cost so far. */
  readonly cost: CallCost = { retries: 0, hedges: 0, waited: 0 };

  constructor(
    private readonly context: ForwardContext,
    private readonly exchange: Exchange,
  ) {
    this.#ledger = new SendLedger(exchange.call.repeatable);
    this.#deadline = exchange.call.receivedAt + exchange.call.timeAllowed;
  }

  /** Serves the call to its end. An outcome that is returned has not been written yet. */
  async run(): Promise<CallEnd> {
    const { clock } = this.context;
    const { signal } = this.exchange;
    const abortAll = (reason: string) => {
      for (const attempt of this.#running) attempt.abort(reason);
    };
    const timer = clock.schedule(this.#deadline - clock.now(), () => {
      this.#expired = true;
      abortAll('deadline');
    });
    const onGone = () => abortAll('caller gone');
    signal.addEventListener('abort', onGone, { once: true });
    try {
      return await this.#tryTargets();
    } finally {
      timer.cancel();
      signal.removeEventListener('abort', onGone);
    }
  }

  async #tryTargets(): Promise<CallEnd> {
    for (let tries = 1; ; tries += 1) {
      const slot = await this.context.pool.takeSlot(this.#buildRequest());
      if (slot.kind === 'refused') {
        if (slot.reason === 'cancelled') return this.#concludeAborted();
        return this.#tellNotRun(slot.reason, `no slot: ${slot.reason}`, slot.retryAfter);
      }
      this.cost.waited += slot.waited;
      if (tries === 1) this.context.retries.earn();
      const result = await this.#runHedged(slot, tries);
      const end = this.#conclude(result, slot.target);
      if (end !== 'try-again') return end;
      const paid = result.kind === 'discarded' || this.context.retries.spend();
      if (!paid || tries >= MAX_TRIES || !this.#mayRetry()) return this.#giveUp(result);
      this.cost.retries += 1;
    }
  }

  #buildRequest(): SlotRequest {
    const { call, signal } = this.exchange;
    return {
      ...{ class: this.context.class, hold: this.context.hold, caller: call.caller },
      ...{ deadline: this.#deadline, signal, tried: this.#tried, repeatable: call.repeatable },
    };
  }

  /** Runs an attempt in a slot, and a second one beside it when the first takes unusually long. */
  async #runHedged(slot: Slot, tries: number): Promise<AttemptResult> {
    const first = this.#start(slot, tries);
    const delay = Math.max(MIN_HEDGE_DELAY, this.context.pool.hedgeDelay);
    if (!this.#mayHedge(delay)) return first.ended;
    this.context.hedges.earn();
    let second: Promise<AttemptResult> | undefined;
    const timer = this.context.clock.schedule(delay, () => {
      second = this.#startHedge();
    });
    const result = await first.ended;
    timer.cancel();
    if (second === undefined || result.kind === 'relayed' || result.kind === 'cut') return result;
    const other = await second;
    return other.kind === 'relayed' || other.kind === 'cut' ? other : result;
  }

  #startHedge(): Promise<AttemptResult> | undefined {
    if (this.#gate.taken) return undefined;
    const slot = this.context.pool.takeFreeSlot(this.#buildRequest());
    if (slot === undefined) return undefined;
    if (!this.context.hedges.spend()) {
      slot.release({ kind: 'cancelled' });
      return undefined;
    }
    this.cost.hedges += 1;
    return this.#start(slot, 2).ended;
  }

  #start(slot: Slot, tries: number): { readonly ended: Promise<AttemptResult> } {
    const { call, body, request, response } = this.exchange;
    this.#tried.add(slot.target);
    if (body.kind === 'stream') inviteBody(request, response);
    const left = this.#deadline - this.context.clock.now();
    const headers = buildTargetHeaders(request.rawHeaders, {
      ...{ call: call.id, left, callerAddress: call.callerAddress },
      forwardedFor: request.headers['x-forwarded-for'] as string | undefined,
      isRetry: call.isRetry || tries > 1,
    });
    const attempt = startAttempt({
      ...{ client: this.context.clientOf(slot.target), call, headers, body, response },
      gate: this.#gate,
      discards: (status) =>
        RETRIED_STATUS.has(status) &&
        tries < MAX_TRIES &&
        this.#mayRetry() &&
        this.context.retries.spend(),
      isTimely: () => this.context.clock.now() < this.#deadline,
      onSent: () => this.#ledger.noteSent(),
      onNotRun: () => this.#ledger.noteNotRun(),
      onReport: (report) => {
        slot.target.recordReport(report);
        if (report.state === 'draining') this.context.onLeaving(slot.target.name);
      },
    });
    this.#running.add(attempt);
    const ended = attempt.done.then((result) => {
      this.#running.delete(attempt);
      slot.release(describeEnd(result));
      return result;
    });
    return { ended };
  }

  #mayHedge(delay: number): boolean {
    const { call, body } = this.exchange;
    return call.repeatable && !call.isRetry && body.kind === 'none' && Number.isFinite(delay);
  }

  #mayRetry(): boolean {
    const { call, body, signal } = this.exchange;
    if (signal.aborted || this.#expired || call.isRetry) return false;
    if (!call.repeatable && this.#ledger.mayHaveRun) return false;
    return isReplayable(body);
  }

  #conclude(result: AttemptResult, target: Target): CallEnd | 'try-again' {
    switch (result.kind) {
      case 'relayed':
        return { kind: 'answered', status: result.status, target: target.name };
      case 'cut':
        return { kind: 'cut', target: target.name, detail: result.detail };
      case 'cancelled':
        return this.#concludeCancelled(result.sent);
      case 'not-run':
      case 'lost':
      case 'discarded':
        return 'try-again';
      default:
        return result satisfies never;
    }
  }

  /** Ends a call whose caller went away, or that this daemon ends because it stops. */
  #concludeAborted(): CallEnd {
    if (this.exchange.signal.reason !== STOPPING) return { kind: 'gone' };
    const detail = 'this entry stopped before the call ended';
    return this.#ledger.mayHaveRun
      ? { kind: 'told', outcome: createUnknown('stopping', detail) }
      : this.#tellNotRun('stopping', detail, 1000);
  }

  #concludeCancelled(sent: boolean): CallEnd {
    if (this.exchange.signal.aborted) return this.#concludeAborted();
    if (!sent && !this.#ledger.mayHaveRun) {
      return this.#tellNotRun('deadline', 'the deadline passed before the call was sent', 0);
    }
    const detail = 'the deadline passed while a target had the call';
    return { kind: 'told', outcome: createUnknown('deadline', detail) };
  }

  #giveUp(result: AttemptResult): CallEnd {
    if (result.kind === 'not-run' && !this.#ledger.mayHaveRun) {
      const { cause } = result;
      const detail = cause.kind === 'target-shed' ? 'targets have no room' : cause.detail;
      return this.#tellNotRun(cause.kind, detail, 1000);
    }
    if (result.kind === 'lost') {
      return { kind: 'told', outcome: createUnknown(result.reason, result.detail) };
    }
    const detail = 'an attempt was sent and no whole answer came';
    return { kind: 'told', outcome: createUnknown('connection-lost', detail) };
  }

  #tellNotRun(
    reason: Parameters<typeof createNotRun>[0],
    detail: string,
    retryAfter: number,
  ): CallEnd {
    if (this.#ledger.mayHaveRun) {
      const told = createUnknown('connection-lost', 'an earlier attempt may have run');
      return { kind: 'told', outcome: told };
    }
    this.#ledger.assertNotRun();
    return { kind: 'told', outcome: createNotRun(reason, detail, retryAfter) };
  }
}
