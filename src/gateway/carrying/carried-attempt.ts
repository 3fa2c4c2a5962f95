/** One attempt to have a call carried by another daemon, and its exact outcome. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { HEADERS, readHeader } from '../../platform/index.js';
import { type TargetAnswer, readAnswer } from '../requests/answer-reader.js';
import type { KeyRejectionReason } from '../requests/answers.js';
import { type OutgoingRequest, sendRequest } from '../requests/outgoing-request.js';
import { type TargetConnection, parseIdleLimit } from '../targets/connections.js';
import type { Carrier } from './carrier-pool.js';

/** How the attempt ended. */
export type CarriedOutcome =
  /** The target's answer. */
  | { readonly kind: 'answered'; readonly answer: TargetAnswer }
  /** The carrier refused the call, which has not run. */
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfter: number }
  /** The carrier's configuration is newer and no longer has the caller's key; the call has not run. */
  | { readonly kind: 'unauthenticated'; readonly reason: KeyRejectionReason }
  /** The carrier can't serve the call, which has not run; another one may. */
  | { readonly kind: 'returned'; readonly reason: string }
  /** The carrier does not know whether the call has run. */
  | { readonly kind: 'unknown'; readonly reason: 'timeout' | 'lost' }
  /** No byte was sent. */
  | { readonly kind: 'not-connected'; readonly reason: string }
  /** The call was sent and no complete answer came. */
  | { readonly kind: 'lost'; readonly reason: string };

/** An attempt that is in progress. */
export interface RunningCarriedAttempt {
  readonly carrier: Carrier;
  /** Whether the head of the answer has arrived. */
  readonly hasHead: boolean;
  /** Resolves with the outcome; never rejects. */
  readonly done: Promise<CarriedOutcome>;
  /** Ends the attempt and closes its connection, so that the carrier ends the call as well. */
  abort(reason: string): void;
}

/** Reasons for which another daemon may serve what a carrier refuses. */
const RETURN_REASONS = new Set(['unreached', 'stopping', 'starting', 'unconfirmed']);

interface LocalAnswerBody {
  readonly outcome?: unknown;
  readonly reason?: unknown;
}

function parseLocalAnswer(body: Buffer): LocalAnswerBody | undefined {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Interprets an answer that no target has signed: one of the carrier itself. */
function decodeLocalAnswer(body: Buffer, retryAfter: string | undefined): CarriedOutcome {
  const { outcome, reason } = parseLocalAnswer(body) ?? {};
  const text = typeof reason === 'string' ? reason : 'unknown';
  switch (outcome) {
    case 'not-run':
      if (text === 'missing-key' || text === 'unknown-key') {
        return { kind: 'unauthenticated', reason: text };
      }
      return RETURN_REASONS.has(text)
        ? { kind: 'returned', reason: text }
        : {
            kind: 'refused',
            reason: text,
            retryAfter: Math.max(0, Number(retryAfter) || 0) * 1000,
          };
    case 'unknown':
      return { kind: 'unknown', reason: text === 'timeout' ? 'timeout' : 'lost' };
    case 'no-route':
    case 'bad-request':
      return { kind: 'returned', reason: text };
    default:
      return { kind: 'lost', reason: 'the answer can not be read' };
  }
}

class CarriedAttempt implements RunningCarriedAttempt {
  #request: ClientRequest | undefined;

  #isSettled = false;

  #resolve: (outcome: CarriedOutcome) => void = () => undefined;

  readonly done: Promise<CarriedOutcome>;

  hasHead = false;

  constructor(
    readonly carrier: Carrier,
    private readonly outgoing: OutgoingRequest,
  ) {
    this.done = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  async send(maxIdle: number): Promise<void> {
    const result = await this.carrier.connections.take(maxIdle);
    if (result.kind === 'not-connected') {
      this.#settle(result);
      return;
    }
    if (this.#isSettled) result.connection.socket.emit('free');
    else this.#sendRequest(result.connection);
  }

  abort(reason: string): void {
    const isSent = this.#request !== undefined;
    this.#settle(isSent ? { kind: 'lost', reason } : { kind: 'not-connected', reason });
    this.#request?.destroy();
  }

  #settle(outcome: CarriedOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#resolve(outcome);
  }

  #sendRequest(connection: TargetConnection): void {
    this.#request = sendRequest(connection, this.outgoing, {
      onResponse: (response) => this.#handleResponse(response, connection),
      onFailure: ({ reason }) => this.#settle({ kind: 'lost', reason }),
    });
  }

  #handleResponse(response: IncomingMessage, connection: TargetConnection): void {
    const { headers } = response;
    this.hasHead = true;
    const breakOff = (reason: string) => {
      this.#settle({ kind: 'lost', reason });
      connection.socket.destroy();
    };
    response.on('error', ({ message }) => breakOff(message));
    const id = readHeader(headers, HEADERS.requestId);
    if (id !== undefined && id !== this.outgoing.requestId) {
      breakOff('the answer belongs to another request');
      return;
    }
    connection.idleLimit = parseIdleLimit(readHeader(headers, 'keep-alive'));
    const isSigned = readHeader(headers, HEADERS.signature) !== undefined;
    readAnswer(
      response,
      {
        ...{ method: this.outgoing.method, connection: connection.endWatch },
        ...{ isSigned, memory: this.outgoing.memory },
      },
      {
        onAnswer: (answer) => {
          if (answer.end.framing === 'close') {
            // A carrier states where each answer ends, and may itself end at any moment.
            breakOff('the answer has no length');
            return;
          }
          if (isSigned) {
            this.#settle({ kind: 'answered', answer });
            return;
          }
          answer.rest?.destroy();
          this.#settle(decodeLocalAnswer(answer.body, readHeader(headers, 'retry-after')));
        },
        onBroken: (fault) => breakOff(`answer not whole: ${fault}`),
      },
    );
  }
}

/**
 * Starts an attempt.
 *
 * @param maxIdle longest idle time of a connection that may be used, in milliseconds
 */
export function startCarriedAttempt(
  carrier: Carrier,
  outgoing: OutgoingRequest,
  maxIdle: number,
): RunningCarriedAttempt {
  const attempt = new CarriedAttempt(carrier, outgoing);
  carrier.inFlight += 1;
  attempt.done
    .then(() => {
      carrier.inFlight -= 1;
    })
    .catch(() => undefined);
  attempt.send(maxIdle).catch(() => undefined);
  return attempt;
}
