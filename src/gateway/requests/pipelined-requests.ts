/**
 * Starts the requests that a caller has sent ahead on one connection. Their answers have to leave in
 * order, so while this daemon is busy nothing is gained by working on them all at once: then one
 * after the other is started, and callers with one request each go first.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_PIPELINED_REQUESTS } from '../../overload/index.js';

/** While the caller leaves more than this of its answers unread, one request after the other is started. */
const MAX_UNSENT_BYTES = 65_536;

interface WaitingRequest {
  readonly response: ServerResponse;
  readonly start: () => void;
}

interface Pipeline {
  /** Requests that were started and not answered. */
  running: number;
  readonly waiting: WaitingRequest[];
  /** Whether its requests are started at once. */
  isUnlimited: boolean;
}

/** The requests of all connections of one listener. */
export class PipelinedRequests {
  readonly #pipelines = new WeakMap<Socket, Pipeline>();

  /** @param isBusy whether other requests wait for this daemon */
  constructor(private readonly isBusy: () => boolean) {}

  /** Starts a request now, or when earlier ones of its connection have been answered. */
  add(socket: Socket, response: ServerResponse, start: () => void): void {
    const pipeline = this.#find(socket);
    response.once('close', () => {
      pipeline.running -= 1;
      this.#startNext(socket, pipeline);
    });
    pipeline.waiting.push({ response, start });
    this.#startNext(socket, pipeline);
  }

  /** Starts the waiting requests of a connection, and those that it receives from now on. */
  startAll(socket: Socket): void {
    const pipeline = this.#find(socket);
    pipeline.isUnlimited = true;
    this.#startNext(socket, pipeline);
  }

  #find(socket: Socket): Pipeline {
    const known = this.#pipelines.get(socket);
    if (known !== undefined) return known;
    const pipeline: Pipeline = { running: 0, waiting: [], isUnlimited: false };
    this.#pipelines.set(socket, pipeline);
    return pipeline;
  }

  #startNext(socket: Socket, pipeline: Pipeline): void {
    while (pipeline.isUnlimited || pipeline.running < this.#findLimit(socket)) {
      const next = pipeline.waiting.shift();
      if (next === undefined || socket.destroyed) return;
      pipeline.running += 1;
      // It may have been refused while it waited.
      if (!next.response.writableEnded) next.start();
    }
  }

  /** Finds how many requests of a connection may be in progress. */
  #findLimit(socket: Socket): number {
    return this.isBusy() || socket.writableLength > MAX_UNSENT_BYTES ? 1 : MAX_PIPELINED_REQUESTS;
  }
}
