/**
 * Detects that the caller of a request has left.
 *
 * A caller's end of stream (FIN) is read one or two event-loop iterations before its connection
 * counts as closed. On an overloaded machine such iterations take hundreds of milliseconds, during
 * which requests were forwarded for callers that had left. So the end of the stream counts. Callers
 * that close their sending side and still wait for an answer get none either way: the listener
 * closes their connections.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Whether the caller has closed its connection or its sending side. */
export function hasCallerLeft(request: IncomingMessage, response: ServerResponse): boolean {
  const { socket } = request;
  return response.destroyed || socket.destroyed || socket.readableEnded;
}

/**
 * Calls `onDisconnect` when the caller leaves before its answer is complete; returns a function
 * that stops watching.
 */
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
