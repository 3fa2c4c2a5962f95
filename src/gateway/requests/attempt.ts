/**
 * One attempt at one target: sends a request and says truthfully what became of it.
 *
 * The answer is held until it is whole, up to a limit, so a broken one can be replaced by another
 * attempt and never looks complete. What is longer is passed on as it comes.
 */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type { Clock } from '../../kernel/index.js';
import { HEADERS, type SelfReport, decodeSelfReport, readHeader } from '../../platform/index.js';
import { type TargetConnection, parseIdleLimit } from '../targets/connections.js';
import type { GatewayTarget } from '../targets/target.js';

/** What is sent. */
export interface Sending {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | Readable | undefined;
}

/** A target's answer. The body is whole, or its first part with the stream of the rest. */
export interface TargetAnswer {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly rest: IncomingMessage | undefined;
  /** Whether the target signed it. */
  readonly isSigned: boolean;
  /** Whether it told its length, or came in chunks; else only its connection's end ended it. */
  readonly isDelimited: boolean;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly answer: TargetAnswer }
  /** No byte was sent. */
  | { readonly kind: 'not-connected'; readonly reason: string }
  /** No byte was sent, as the target takes no calls any more since it was chosen. */
  | { readonly kind: 'withdrawn' }
  /** The target said that it did not run the request. */
  | { readonly kind: 'not-run'; readonly cause: 'shed' | 'misdirected' }
  /** It was sent and no whole answer came; `isEnded` tells whether its target has ended. */
  | { readonly kind: 'lost'; readonly reason: string; readonly isEnded: boolean }
  /** Given up by this daemon; `sent` tells whether the target may have had it. */
  | { readonly kind: 'cancelled'; readonly sent: boolean };

/** When parts of an attempt were done, in milliseconds from its start. */
export interface AttemptTiming {
  connected: number;
  head: number;
}

/** A running attempt. */
export interface RunningAttempt {
  readonly timing: AttemptTiming;
  /** Calls at the target when this one started, itself included. */
  readonly callsAtStart: number;
  readonly target: GatewayTarget;
  readonly startedAt: number;
  readonly done: Promise<AttemptOutcome>;
  /** Gives it up; the target sees its connection close. */
  abort(): void;
}

/** Longest answer that is held whole, in bytes: many times the users' longest. */
const HELD_BYTES = 262_144;

/** How long a connection may have rested when it carries what must not run twice. */
const FRESH_REST = 1500;

const ANY_REST = Infinity;

/** Statuses from here on say that the target failed. */
export const SERVER_ERROR = 500;

class TargetAttempt implements RunningAttempt {
  #request: http.ClientRequest | undefined;

  #isAborted = false;

  #isSettled = false;

  #resolve: (outcome: AttemptOutcome) => void = () => undefined;

  readonly done: Promise<AttemptOutcome>;

  readonly timing: AttemptTiming = { connected: 0, head: 0 };

  readonly callsAtStart: number;

  constructor(
    readonly target: GatewayTarget,
    private readonly sending: Sending,
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
    const longest = isRepeatable ? ANY_REST : FRESH_REST;
    const taken = await target.connections.take(target.isReuseSafe ? longest : -1);
    if (this.#isAborted) {
      if (taken.kind === 'connected') taken.connection.socket.emit('free');
      this.#settle({ kind: 'cancelled', sent: false });
      return;
    }
    if (taken.kind === 'not-connected') {
      this.#settle(taken);
      return;
    }
    if (!target.isUsable) {
      taken.connection.socket.emit('free');
      this.#settle({ kind: 'withdrawn' });
      return;
    }
    this.timing.connected = this.clock.now() - this.startedAt;
    this.#write(taken.connection);
  }

  abort(): void {
    this.#isAborted = true;
    if (this.#request === undefined) return;
    this.#request.destroy();
    this.#settle({ kind: 'cancelled', sent: true });
  }

  #settle(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#resolve(outcome);
  }

  /** Settles an attempt that brought no whole answer, once it is known what became of its target. */
  #lose(reason: string): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    const resolve = (isEnded: boolean) => this.#resolve({ kind: 'lost', reason, isEnded });
    this.target.checkEnded().then(resolve, () => resolve(false));
  }

  #write(connection: TargetConnection): void {
    const { method, path, headers, body } = this.sending;
    const request = http.request({
      ...{ agent: connection.agent, method, path, setHost: false },
      headers: headers as unknown as http.OutgoingHttpHeaders,
    });
    this.#request = request;
    request.on('error', (error: NodeJS.ErrnoException) => {
      this.#lose(error.code ?? error.message);
    });
    request.on('response', (response) => this.#read(response, connection));
    if (body === undefined || Buffer.isBuffer(body)) request.end(body);
    else body.pipe(request);
  }

  #read(response: IncomingMessage, connection: TargetConnection): void {
    const { target } = this;
    this.timing.head = this.clock.now() - this.startedAt;
    response.on('error', (error) => {
      this.#lose(error.message);
      connection.socket.destroy();
    });
    const { statusCode: status = 0, headers } = response;
    const report = decodeSelfReport(status, headers);
    const echoed = readHeader(headers, HEADERS.requestId);
    if (echoed !== undefined && echoed !== this.sending.requestId) {
      target.receiveDraining(report.draining);
      target.recordStrayBytes();
      this.#settle({
        ...{ kind: 'lost', reason: 'the answer belongs to another request', isEnded: false },
      });
      connection.socket.destroy();
      return;
    }
    connection.idleLimit = parseIdleLimit(readHeader(headers, 'keep-alive'));
    this.#takeReport(report, status);
    if (report.isRejected || report.isMisdirected) {
      response.resume();
      this.#settle({ kind: 'not-run', cause: report.isMisdirected ? 'misdirected' : 'shed' });
      return;
    }
    this.#hold(response, report.isSigned);
  }

  #takeReport(report: SelfReport, status: number): void {
    const { target, startedAt } = this;
    // The answered call is still counted here, and no longer there.
    const own = target.load.countArrived(this.clock.now()) - 1;
    const isGood = !report.isRejected && report.isSigned && status < SERVER_ERROR;
    target.receiveReport(report, { sentAt: startedAt, ownCalls: own, isSuccess: isGood });
  }

  #hold(response: IncomingMessage, isSigned: boolean): void {
    const chunks: Buffer[] = [];
    let length = 0;
    const answer = (rest: IncomingMessage | undefined): AttemptOutcome => ({
      kind: 'answered',
      answer: {
        status: response.statusCode ?? 0,
        rawHeaders: response.rawHeaders,
        body: Buffer.concat(chunks),
        rest,
        isSigned,
        isDelimited:
          readHeader(response.headers, 'content-length') !== undefined ||
          readHeader(response.headers, 'transfer-encoding') !== undefined,
      },
    });
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      length += chunk.length;
      if (length <= HELD_BYTES) return;
      response.pause();
      response.removeListener('data', onData);
      response.removeListener('end', onEnd);
      this.#settle(answer(response));
    };
    const onEnd = () => {
      if (response.complete) this.#settle(answer(undefined));
      else this.#lose('the answer broke off');
    };
    response.on('data', onData);
    response.on('end', onEnd);
    response.on('aborted', () => this.#lose('the answer broke off'));
  }
}

/** Starts an attempt at a target where the call is counted already. */
export function startTargetAttempt(
  target: GatewayTarget,
  sending: Sending,
  options: { readonly isRepeatable: boolean; readonly clock: Clock },
): RunningAttempt {
  const attempt = new TargetAttempt(target, sending, options.clock.now(), options.clock);
  attempt.done.then(() => target.load.finish()).catch(() => undefined);
  attempt.send(options.isRepeatable).catch(() => undefined);
  return attempt;
}
