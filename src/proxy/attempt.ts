/**
 * One attempt at one target: sends the call, and either relays the answer or reports how it failed.
 *
 * `onRequestStart` decides what is known about a failed attempt. Before it, no byte of the call has
 * been written, so the call was not run. After it, the call may have run, unless the target reports
 * that it did not.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import { assertInvariant } from '../kernel/index.js';
import type { TargetReport } from '../balance/index.js';
import { PieceJoiner } from '../overload/index.js';
import { setResetOnClose } from './answer-abort.js';
import { findAnswerFault } from './answer-check.js';
import { findFraming } from './answer-framing.js';
import { AnswerOverrun } from './answer-meter.js';
import { AnswerWriter } from './answer-writer.js';
import type { Body } from './body.js';
import type { Call } from './call.js';
import {
  CALL_HEADER,
  type FlatHeaders,
  REPORT_HEADER,
  buildCallerHeaders,
  findHeader,
  parseReport,
} from './headers.js';
import type { UnknownReason } from './outcome.js';
import { closeAfterLongBody } from './unread-body.js';

/** How an attempt ended. */
export type AttemptResult =
  /** The whole answer was passed to the caller. */
  | { readonly kind: 'relayed'; readonly status: number }
  /** The answer broke off after its head had been passed on; the caller's connection was closed. */
  | { readonly kind: 'cut'; readonly detail: string }
  /** No byte was sent, or the target reported that it did not run the call. */
  | { readonly kind: 'not-run'; readonly cause: NotRunCause }
  /** The call was sent but no usable answer came; nothing was passed to the caller. */
  | { readonly kind: 'lost'; readonly reason: UnknownReason; readonly detail: string }
  /** A server error that is not passed on, because the call is retried. */
  | { readonly kind: 'discarded'; readonly status: number }
  /** Aborted by the entry: another attempt answered, the deadline passed or the caller left. */
  | { readonly kind: 'cancelled'; readonly sent: boolean };

/** Why the call was certainly not run by an attempt. */
export type NotRunCause =
  { readonly kind: 'target-shed' } | { readonly kind: 'not-connected'; readonly detail: string };

/** Ensures that only one of several attempts answers the caller, and aborts the others. */
export class AnswerGate {
  #owner: object | undefined;

  readonly #abortCallbacks = new Set<(reason: string) => void>();

  /** Registers the callback that aborts an attempt when another one answers. */
  add(abort: (reason: string) => void): void {
    this.#abortCallbacks.add(abort);
  }

  /** Claims the right to answer and aborts the other attempts; false if another attempt has it. */
  claim(attempt: object, abort: (reason: string) => void): boolean {
    if (this.#owner !== undefined) return this.#owner === attempt;
    this.#owner = attempt;
    for (const other of this.#abortCallbacks) {
      if (other !== abort) other('another attempt answered first');
    }
    return true;
  }

  /** Whether an attempt has claimed the right to answer. */
  get isClaimed(): boolean {
    return this.#owner !== undefined;
  }
}

/** Inputs and callbacks of an attempt. */
export interface AttemptOptions {
  readonly client: Dispatcher;
  readonly call: Call;
  readonly headers: readonly string[];
  readonly body: Body;
  readonly response: ServerResponse;
  readonly gate: AnswerGate;
  /** Whether the answer's outcome header is passed on, as for answers of another entry. */
  readonly keepsOutcomeHeader?: boolean;
  /** Whether an answer with this status is discarded, so that the call can be retried. */
  readonly isDiscarded: (status: number) => boolean;
  /** Whether the call may still be sent; checked right before its first byte. */
  readonly isBeforeDeadline: () => boolean;
  /** Called once when the first byte may have been written. */
  readonly onSent: () => void;
  /** Called with the target's report about itself. */
  readonly onReport?: (report: TargetReport) => void;
  /** Called when the target reports that it did not run the call. */
  readonly onNotRun: () => void;
}

/** An attempt in progress. */
export interface Attempt {
  /** Resolves when the attempt has ended; never rejects. */
  readonly done: Promise<AttemptResult>;
  /** Aborts the attempt and closes its connection to the target. */
  abort(reason: string): void;
}

const EARLY_HINTS_STATUS = 103;
const MIN_FINAL_STATUS = 200;

/** Error with which the entry aborts its own attempts. */
class AttemptAborted extends Error {
  override readonly name = 'AttemptAborted';
}

/** Shared instance: capturing a stack trace for each aborted attempt would cost too much. */
const ABORTED = new AttemptAborted('given up by the entry');

function decodeHeaders(raw: Dispatcher.DispatchController['rawHeaders']): FlatHeaders {
  if (!Array.isArray(raw)) return [];
  return raw.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
}

function buildBody(body: Body): Dispatcher.DispatchOptions['body'] {
  switch (body.kind) {
    case 'none':
      return null;
    case 'buffered':
      return body.data;
    case 'stream':
      // Given the request itself, undici would destroy it, and the caller's connection with it.
      return readStream(body.request) as unknown as Dispatcher.DispatchOptions['body'];
    default:
      return body satisfies never;
  }
}

/** Streams a body; nothing of it is read before the first piece is asked for. */
async function* readStream(request: IncomingMessage): AsyncGenerator<Buffer> {
  const stream = new PieceJoiner();
  const breakOff = () => {
    // A pipe does not end when its source breaks off.
    if (!request.readableEnded) stream.destroy(new Error('the caller ended the body early'));
  };
  request.once('close', breakOff);
  request.pipe(stream);
  try {
    yield* stream as AsyncIterable<Buffer>;
  } finally {
    request.removeListener('close', breakOff);
    request.unpipe(stream);
    stream.destroy();
  }
}

function writeInformational(response: ServerResponse, status: number, headers: FlatHeaders): void {
  if (status !== EARLY_HINTS_STATUS || response.headersSent) return;
  const link = findHeader(headers, 'link');
  if (link !== undefined) response.writeEarlyHints({ link });
}

/** Starts an attempt. */
export function startAttempt(options: AttemptOptions): Attempt {
  const { call, response, gate } = options;
  const identity = {};
  let startCount = 0;
  let isHeadSent = false;
  let status = 0;
  let controller: Dispatcher.DispatchController | undefined;
  let decidedResult: AttemptResult | undefined;
  let abortedBeforeStart: string | undefined;
  let resolveDone: (result: AttemptResult) => void;
  const done = new Promise<AttemptResult>((resolve) => {
    resolveDone = resolve;
  });

  const abort = (reason: string) => {
    if (controller === undefined) abortedBeforeStart = reason;
    else controller.abort(ABORTED);
  };
  const writer = new AnswerWriter(response);
  const resume = () => {
    writer.updateCharge();
    controller?.resume();
  };
  /** Ends the attempt with the given result and closes the connection to the target. */
  const stopWith = (result: AttemptResult) => {
    decidedResult = result;
    controller?.abort(ABORTED);
  };

  function handleResponseHead(code: number, headers: FlatHeaders): void {
    const fault = findAnswerFault({ status: code, rawHeaders: headers });
    if (fault !== undefined) {
      stopWith({ kind: 'lost', reason: 'wrong-answer', detail: fault });
      return;
    }
    const parsed = parseReport(findHeader(headers, REPORT_HEADER));
    options.onReport?.(parsed.report);
    if (parsed.notRun) {
      options.onNotRun();
      stopWith({ kind: 'not-run', cause: { kind: 'target-shed' } });
      return;
    }
    const echoedCallId = findHeader(headers, CALL_HEADER);
    if (echoedCallId !== undefined && echoedCallId !== call.id) {
      const detail = `the answer belongs to call ${echoedCallId}`;
      stopWith({ kind: 'lost', reason: 'wrong-answer', detail });
      return;
    }
    const framing = findFraming({ method: call.method, status: code, rawHeaders: headers });
    // `undici` does not tell how a connection has ended.
    if (framing === 'close') {
      const detail = 'the answer ends with its connection, so its end cannot be told';
      stopWith({ kind: 'lost', reason: 'undelimited-answer', detail });
      return;
    }
    if (options.isDiscarded(code)) {
      stopWith({ kind: 'discarded', status: code });
      return;
    }
    if (!gate.claim(identity, abort)) {
      stopWith({ kind: 'cancelled', sent: true });
      return;
    }
    status = code;
    isHeadSent = true;
    closeAfterLongBody(response);
    response.writeHead(code, buildCallerHeaders(headers, call.id, options.keepsOutcomeHeader));
    setResetOnClose(response, framing);
    response.on('drain', resume);
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      controller = started;
      startCount += 1;
      if (abortedBeforeStart !== undefined) {
        started.abort(ABORTED);
        return;
      }
      if (startCount > 1) {
        // undici is about to resend the call by itself, but only the forwarder decides on retries.
        started.abort(new Error('connection lost'));
        return;
      }
      if (!options.isBeforeDeadline()) {
        abortedBeforeStart = 'deadline';
        started.abort(ABORTED);
        return;
      }
      options.onSent();
    },
    onResponseStart(started, code) {
      const headers = decodeHeaders(started.rawHeaders);
      if (code < MIN_FINAL_STATUS) writeInformational(response, code, headers);
      else handleResponseHead(code, headers);
    },
    onResponseData(started, chunk) {
      if (decidedResult !== undefined) return;
      if (!writer.add(chunk)) started.pause();
    },
    onResponseEnd(_started, trailers) {
      if (decidedResult !== undefined) {
        resolveDone(decidedResult);
        return;
      }
      assertInvariant(isHeadSent, 'an answer ends after its head was passed on');
      response.removeListener('drain', resume);
      writer.finish();
      if (Object.keys(trailers).length > 0) response.addTrailers(trailers);
      response.end();
      resolveDone({ kind: 'relayed', status });
    },
    onResponseError(_started, error) {
      response.removeListener('drain', resume);
      if (decidedResult !== undefined) {
        resolveDone(decidedResult);
        return;
      }
      if (isHeadSent) {
        writer.discard();
        response.destroy();
        resolveDone({ kind: 'cut', detail: error.message });
        return;
      }
      if (startCount === 0 || (startCount === 1 && abortedBeforeStart !== undefined)) {
        resolveDone(
          abortedBeforeStart !== undefined || error === ABORTED
            ? { kind: 'cancelled', sent: false }
            : { kind: 'not-run', cause: { kind: 'not-connected', detail: error.message } },
        );
        return;
      }
      if (error === ABORTED) {
        resolveDone({ kind: 'cancelled', sent: true });
        return;
      }
      const reason = error instanceof AnswerOverrun ? 'wrong-answer' : 'connection-lost';
      resolveDone({ kind: 'lost', reason, detail: error.message });
    },
  };

  gate.add(abort);
  options.client.dispatch(
    {
      path: call.requestTarget,
      method: call.method,
      headers: options.headers as string[],
      body: buildBody(options.body),
      headersTimeout: 0,
      bodyTimeout: 0,
    },
    handler,
  );
  return { done, abort };
}
