/**
 * Tells when the caller of a request has left.
 *
 * The end of what a caller sends comes a turn of the event loop or two before its connection counts as
 * closed. On a machine that is far too slow such turns take hundreds of milliseconds, in which requests
 * went to targets for callers that were known to be gone; so the end counts. Callers that send nothing more
 * and still wait for an answer are not served either way: the listener closes their connections.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Whether the caller has left. */
export function hasCallerLeft(request: IncomingMessage, response: ServerResponse): boolean {
  const { socket } = request;
  return response.destroyed || socket.destroyed || socket.readableEnded;
}

/** Calls `onLeft` when the caller leaves before its answer is complete; returns what ends the watch. */
export function watchDisconnect(
  request: IncomingMessage,
  response: ServerResponse,
  onDisconnect: () => void,
): () => void {
  const { socket } = request;
  response.once('close', onDisconnect);
  socket.once('end', onDisconnect);
  return () => {
    response.removeListener('close', onDisconnect);
    socket.removeListener('end', onDisconnect);
  };
}
