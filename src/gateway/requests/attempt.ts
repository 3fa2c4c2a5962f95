/**
 * One attempt to send a request to one target, and its exact outcome.
 *
 * An answer is buffered until it is complete, up to a limit, so that a truncated one can be
 * replaced by another attempt and never looks complete. Longer answers are streamed to the caller.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Clock } from '../../kernel/index.js';
import { HEADERS, type SelfReport, decodeSelfReport, readHeader } from '../../platform/index.js';
import { type TargetConnection, parseIdleLimit } from '../targets/connections.js';
import type { GatewayTarget, LossKind } from '../targets/target.js';
import { type TargetAnswer, readAnswer } from './answer-reader.js';
import { type ExchangeFailure, type OutgoingRequest, sendRequest } from './outgoing-request.js';
import { finishUnusedAnswer } from './unused-answer.js';

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly answer: TargetAnswer }
  /** No byte was sent. */
  | { readonly kind: 'not-connected'; readonly reason: string }
  /** No byte was sent, because the target stopped taking calls after it was chosen. */
  | { readonly kind: 'withdrawn' }
  /** The target reported that it did not run the request. */
  | { readonly kind: 'not-run'; readonly cause: 'shed' | 'misdirected' }
  /**
   * The request was sent and no complete answer came; `hasTargetEnded` says whether the target has
   * ended.
   */
  | { readonly kind: 'lost'; readonly reason: string; readonly hasTargetEnded: boolean }
  /**
   * The request was sent, and the target reset its connection because it was full; `calls` were
   * believed to be there.
   */
  | { readonly kind: 'full'; readonly reason: string; readonly calls: number }
  /** Aborted by this daemon; `isSent` says whether the target may have received the request. */
  | { readonly kind: 'cancelled'; readonly isSent: boolean };

/**
 * When the connection and the head of the answer were ready, in milliseconds from the start of the
 * attempt.
 */
export interface AttemptTiming {
  connected: number;
  head: number;
}

/** An attempt that is in progress. */
export interface RunningAttempt {
  readonly timing: AttemptTiming;
  /** Estimated calls at the target when this one started, including this one. */
  readonly callsAtStart: number;
  readonly target: GatewayTarget;
  readonly startedAt: number;
  /** Resolves with the outcome; never rejects. */
  readonly done: Promise<AttemptOutcome>;
  /** Aborts the attempt and closes its connection to the target. */
  abort(): void;
}

/** Longest idle time of a connection that may carry a request which must not run twice. */
const MAX_UNSAFE_IDLE_MS = 1500;

/** Finds the longest idle time of a connection that a request may use, in milliseconds. */
export function findMaxIdle(isRepeatable: boolean): number {
  return isRepeatable ? Infinity : MAX_UNSAFE_IDLE_MS;
}

/** Answers with this status or a higher one count as failures of the target. */
export const MIN_FAILURE_STATUS = 500;

class TargetAttempt implements RunningAttempt {
  #request: ClientRequest | undefined;

  #isAborted = false;

  #isSettled = false;

  #resolve: (outcome: AttemptOutcome) => void = () => undefined;

  readonly done: Promise<AttemptOutcome>;

  readonly timing: AttemptTiming = { connected: 0, head: 0 };

  readonly callsAtStart: number;

  constructor(
    readonly target: GatewayTarget,
    private readonly outgoing: OutgoingRequest,
    readonly startedAt: number,
    private readonly clock: Clock,
  ) {
    this.callsAtStart = target.load.countCalls(startedAt, 1);
    this.done = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  async send(isRepeatable: boolean): Promise<void> {
    const { target } = this;
    const maxIdle = target.isReuseSafe ? findMaxIdle(isRepeatable) : -1;
    const result = await target.connections.take(maxIdle);
    if (this.#isAborted) {
      if (result.kind === 'connected') result.connection.socket.emit('free');
      this.#settle({ kind: 'cancelled', isSent: false });
      return;
    }
    if (result.kind === 'not-connected') {
      this.#settle(result);
      return;
    }
    if (!target.isUsable) {
      result.connection.socket.emit('free');
      this.#settle({ kind: 'withdrawn' });
      return;
    }
    this.timing.connected = this.clock.now() - this.startedAt;
    this.#sendRequest(result.connection);
  }

  abort(): void {
    this.#isAborted = true;
    if (this.#request === undefined) return;
    this.#request.destroy();
    this.#settle({ kind: 'cancelled', isSent: true });
  }

  #settle(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#resolve(outcome);
  }

  /** Settles an attempt that got no complete answer, after finding out why. */
  #settleLost(reason: string, code: string, hasAnswerBytes = true): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    // A target may have become full while the call was on its way, or have had room again since.
    const { load } = this.target;
    const calls = Math.max(this.callsAtStart, load.countCalls(this.clock.now(), 1));
    const resolve = (kind: LossKind) =>
      this.#resolve(
        kind === 'full'
          ? { kind, reason, calls }
          : { kind: 'lost', reason, hasTargetEnded: kind === 'ended' },
      );
    const evidence = { hasAnswerBytes, code, calls };
    this.target.judgeLoss(evidence).then(resolve, () => resolve('unknown'));
  }

  #sendRequest(connection: TargetConnection): void {
    const { socket } = connection;
    const bytesBefore = socket.bytesRead;
    this.#request = sendRequest(connection, this.outgoing, {
      onResponse: (response) => this.#handleResponse(response, connection),
      onFailure: (failure) => this.#handleFailure(failure, socket.bytesRead > bytesBefore),
    });
  }

  #handleFailure(failure: ExchangeFailure, hasAnswerBytes: boolean): void {
    switch (failure.kind) {
      case 'disconnected':
        this.#settleLost(failure.reason, failure.code, hasAnswerBytes);
        return;
      case 'malformed':
        if (!this.#isSettled) this.target.recordStrayBytes();
        this.#settleLost(failure.reason, '', hasAnswerBytes);
        return;
      default:
        failure satisfies never;
    }
  }

  #handleResponse(response: IncomingMessage, connection: TargetConnection): void {
    const { target } = this;
    this.timing.head = this.clock.now() - this.startedAt;
    response.on('error', (error) => {
      this.#settleLost(error.message, '');
      connection.socket.destroy();
    });
    const { statusCode: status = 0, headers } = response;
    const report = decodeSelfReport(status, headers);
    const echoedId = readHeader(headers, HEADERS.requestId);
    if (echoedId !== undefined && echoedId !== this.outgoing.requestId) {
      target.receiveDraining(report.draining);
      target.recordStrayBytes();
      this.#settle({
        ...{ kind: 'lost', reason: 'the answer belongs to another request', hasTargetEnded: false },
      });
      connection.socket.destroy();
      return;
    }
    connection.idleLimit = parseIdleLimit(readHeader(headers, 'keep-alive'));
    this.#applyReport(report, status);
    if (report.isRejected || report.isMisdirected) {
      finishUnusedAnswer(response, this.clock);
      this.#settle({ kind: 'not-run', cause: report.isMisdirected ? 'misdirected' : 'shed' });
      return;
    }
    readAnswer(
      response,
      {
        ...{ method: this.outgoing.method, connection: connection.endWatch },
        ...{ isSigned: report.isSigned, memory: this.outgoing.memory },
      },
      {
        onAnswer: (answer) => this.#settle({ kind: 'answered', answer }),
        onBroken: (fault) => this.#settleLost(`answer not whole: ${fault}`, ''),
      },
    );
  }

  #applyReport(report: SelfReport, status: number): void {
    const { target, startedAt } = this;
    // The answered call is still counted on this side, but no longer in the target's report.
    const ownCalls = target.load.countArrived(this.clock.now()) - 1;
    const isSuccess = !report.isRejected && report.isSigned && status < MIN_FAILURE_STATUS;
    target.receiveReport(report, { sentAt: startedAt, ownCalls, isSuccess });
  }
}

/** Starts an attempt at a target that already counts the call. */
export function startTargetAttempt(
  target: GatewayTarget,
  outgoing: OutgoingRequest,
  options: { readonly isRepeatable: boolean; readonly clock: Clock },
): RunningAttempt {
  const attempt = new TargetAttempt(target, outgoing, options.clock.now(), options.clock);
  attempt.done.then(() => target.load.finish()).catch(() => undefined);
  attempt.send(options.isRepeatable).catch(() => undefined);
  return attempt;
}
