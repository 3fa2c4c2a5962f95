/**
 * Forwards one call: takes a slot, sends the call to its target, and retries or hedges if allowed.
 *
 * Two rules hold on every path. A call that may not be repeated is sent again only once each
 * earlier attempt is known not to have run. *Not run* is reported only if that is known of every
 * attempt. {@link SendLedger} asserts both.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type { Clock } from '../kernel/index.js';
import type { AttemptEnd, Pool, ShareBudget, Slot, SlotRequest, Target } from '../balance/index.js';
import type { ClassConfig } from '../config/index.js';
import type { Hold } from '../policy/index.js';
import { AnswerGate, type Attempt, type AttemptResult, startAttempt } from './attempt.js';
import { type Body, sendContinue, isReplayable } from './body.js';
import type { Call } from './call.js';
import { watchUpload } from './upload-watch.js';
import { buildTargetHeaders } from './headers.js';
import { SendLedger } from './ledger.js';
import { type Outcome, createNotRun, createUnknown } from './outcome.js';

/** How a call ended. `told` means that the caller gets an outcome instead of an answer. */
export type CallEnd =
  | { readonly kind: 'answered'; readonly status: number; readonly target: string }
  | { readonly kind: 'cut'; readonly target: string; readonly detail: string }
  | { readonly kind: 'told'; readonly outcome: Outcome }
  | { readonly kind: 'gone' };

/** The pool, budgets and callbacks used to forward a call. */
export interface ForwardContext {
  readonly pool: Pool;
  readonly class: ClassConfig;
  readonly hold: Hold | undefined;
  readonly retryBudget: ShareBudget;
  readonly hedgeBudget: ShareBudget;
  readonly findClient: (target: Target) => Dispatcher;
  readonly clock: Clock;
  /** Called with the address of a target that reports that it is draining. */
  readonly onTargetLeaving: (target: string) => void;
}

/** A call to forward, with its body, request and response. */
export interface ForwardedCall {
  readonly call: Call;
  readonly body: Body;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborts when the caller goes away or the daemon ends the call. */
  readonly signal: AbortSignal;
}

/** The retries, hedges and waiting time of a call. */
export interface CallCost {
  retries: number;
  hedges: number;
  /** Total time spent waiting for slots, in milliseconds. */
  waited: number;
}

/** Abort reason of the signal when the daemon ends its calls because it stops. */
export const STOPPING_REASON = 'stopping';

const MAX_ATTEMPTS = 4;
const MIN_HEDGE_DELAY_MS = 2;
const RETRYABLE_STATUSES = new Set([502, 503, 504]);

function createAttemptEnd(result: AttemptResult): AttemptEnd {
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

/** Forwards one call. */
export class Forwarder {
  readonly #ledger: SendLedger;

  readonly #gate = new AnswerGate();

  readonly #tried = new Set<Target>();

  readonly #deadline: number;

  readonly #runningAttempts = new Set<Attempt>();

  #isExpired = false;

  /** Cost of the call so far. */
  readonly cost: CallCost = { retries: 0, hedges: 0, waited: 0 };

  constructor(
    private readonly context: ForwardContext,
    private readonly forwarded: ForwardedCall,
  ) {
    this.#ledger = new SendLedger(forwarded.call.repeatable);
    this.#deadline = forwarded.call.receivedAt + forwarded.call.timeAllowed;
  }

  /** Runs the call to its end. The caller of this method writes a returned outcome. */
  async run(): Promise<CallEnd> {
    const { clock } = this.context;
    const { signal } = this.forwarded;
    const abortAll = (reason: string) => {
      for (const attempt of this.#runningAttempts) attempt.abort(reason);
    };
    const timer = clock.schedule(this.#deadline - clock.now(), () => {
      this.#isExpired = true;
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
    for (let attemptNumber = 1; ; attemptNumber += 1) {
      const slot = await this.context.pool.takeSlot(this.#createSlotRequest());
      if (slot.kind === 'refused') {
        if (slot.reason === 'cancelled') return this.#finishAborted();
        return this.#reportNotRun(slot.reason, `no slot: ${slot.reason}`, slot.retryAfter);
      }
      this.cost.waited += slot.waited;
      if (attemptNumber === 1) this.context.retryBudget.earn();
      const result = await this.#runHedged(slot, attemptNumber);
      const end = this.#interpretResult(result, slot.target);
      if (end !== 'try-again') return end;
      const hasBudget = result.kind === 'discarded' || this.context.retryBudget.spend();
      if (!hasBudget || attemptNumber >= MAX_ATTEMPTS || !this.#mayRetry())
        return this.#finishFailed(result);
      this.cost.retries += 1;
    }
  }

  #createSlotRequest(): SlotRequest {
    const { call, signal } = this.forwarded;
    return {
      ...{ class: this.context.class, hold: this.context.hold, caller: call.caller },
      ...{ deadline: this.#deadline, signal, tried: this.#tried, repeatable: call.repeatable },
    };
  }

  /** Runs an attempt in a slot, and hedges it with a second one if it takes unusually long. */
  async #runHedged(slot: Slot, attemptNumber: number): Promise<AttemptResult> {
    const first = this.#startAttempt(slot, attemptNumber);
    const delay = Math.max(MIN_HEDGE_DELAY_MS, this.context.pool.hedgeDelay);
    if (!this.#mayHedge(delay)) return first.ended;
    this.context.hedgeBudget.earn();
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
    if (this.#gate.isClaimed) return undefined;
    const slot = this.context.pool.takeFreeSlot(this.#createSlotRequest());
    if (slot === undefined) return undefined;
    if (!this.context.hedgeBudget.spend()) {
      slot.release({ kind: 'cancelled' });
      return undefined;
    }
    this.cost.hedges += 1;
    return this.#startAttempt(slot, 2).ended;
  }

  #startAttempt(slot: Slot, attemptNumber: number): { readonly ended: Promise<AttemptResult> } {
    const { call, body, request, response } = this.forwarded;
    this.#tried.add(slot.target);
    if (body.kind === 'stream') sendContinue(request, response);
    const timeLeft = this.#deadline - this.context.clock.now();
    const headers = buildTargetHeaders(request.rawHeaders, {
      ...{ callId: call.id, timeLeft, callerAddress: call.callerAddress },
      forwardedFor: request.headers['x-forwarded-for'] as string | undefined,
      isRetry: call.isRetry || attemptNumber > 1,
    });
    const attempt = startAttempt({
      ...{ client: this.context.findClient(slot.target), call, headers, body, response },
      gate: this.#gate,
      isDiscarded: (status) =>
        RETRYABLE_STATUSES.has(status) &&
        attemptNumber < MAX_ATTEMPTS &&
        this.#mayRetry() &&
        this.context.retryBudget.spend(),
      isBeforeDeadline: () => this.context.clock.now() < this.#deadline,
      onSent: () => this.#ledger.recordSent(),
      onNotRun: () => this.#ledger.recordNotRun(),
      onReport: (report) => {
        slot.target.recordReport(report);
        if (report.state === 'draining') this.context.onTargetLeaving(slot.target.name);
      },
    });
    this.#runningAttempts.add(attempt);
    const uploadWatch =
      body.kind === 'stream'
        ? watchUpload({
            ...{ clock: this.context.clock, request },
            hasWaitingCalls: () => this.context.pool.waiting > 0,
            onTooSlow: () => attempt.abort('the upload is too slow'),
          })
        : undefined;
    const ended = attempt.done.then((result) => {
      uploadWatch?.cancel();
      this.#runningAttempts.delete(attempt);
      slot.release(createAttemptEnd(result));
      return result;
    });
    return { ended };
  }

  #mayHedge(delay: number): boolean {
    const { call, body } = this.forwarded;
    return call.repeatable && !call.isRetry && body.kind === 'none' && Number.isFinite(delay);
  }

  #mayRetry(): boolean {
    const { call, body, signal } = this.forwarded;
    if (signal.aborted || this.#isExpired || call.isRetry) return false;
    if (!call.repeatable && this.#ledger.mayHaveRun) return false;
    return isReplayable(body);
  }

  #interpretResult(result: AttemptResult, target: Target): CallEnd | 'try-again' {
    switch (result.kind) {
      case 'relayed':
        return { kind: 'answered', status: result.status, target: target.name };
      case 'cut':
        return { kind: 'cut', target: target.name, detail: result.detail };
      case 'cancelled':
        return this.#finishCancelled(result.sent);
      case 'not-run':
      case 'lost':
      case 'discarded':
        return 'try-again';
      default:
        return result satisfies never;
    }
  }

  /** Finishes a call that was aborted because its caller went away or because this daemon stops. */
  #finishAborted(): CallEnd {
    if (this.forwarded.signal.reason !== STOPPING_REASON) return { kind: 'gone' };
    const detail = 'this entry stopped before the call ended';
    return this.#ledger.mayHaveRun
      ? { kind: 'told', outcome: createUnknown('stopping', detail) }
      : this.#reportNotRun('stopping', detail, 1000);
  }

  #finishCancelled(sent: boolean): CallEnd {
    if (this.forwarded.signal.aborted) return this.#finishAborted();
    if (!sent && !this.#ledger.mayHaveRun) {
      return this.#reportNotRun('deadline', 'the deadline passed before the call was sent', 0);
    }
    const detail = this.#isExpired
      ? 'the deadline passed while a target had the call'
      : 'the caller sent the body too slowly while other calls waited';
    return { kind: 'told', outcome: createUnknown('deadline', detail) };
  }

  #finishFailed(result: AttemptResult): CallEnd {
    if (result.kind === 'not-run' && !this.#ledger.mayHaveRun) {
      const { cause } = result;
      const detail = cause.kind === 'target-shed' ? 'targets have no room' : cause.detail;
      return this.#reportNotRun(cause.kind, detail, 1000);
    }
    if (result.kind === 'lost') {
      return { kind: 'told', outcome: createUnknown(result.reason, result.detail) };
    }
    const detail = 'an attempt was sent and no whole answer came';
    return { kind: 'told', outcome: createUnknown('connection-lost', detail) };
  }

  #reportNotRun(
    reason: Parameters<typeof createNotRun>[0],
    detail: string,
    retryAfter: number,
  ): CallEnd {
    if (this.#ledger.mayHaveRun) {
      const outcome = createUnknown('connection-lost', 'an earlier attempt may have run');
      return { kind: 'told', outcome };
    }
    this.#ledger.assertNotRun();
    return { kind: 'told', outcome: createNotRun(reason, detail, retryAfter) };
  }
}
