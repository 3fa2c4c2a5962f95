/** Ends answers that are not whole so that no caller takes them for whole ones. */
import type { ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';
import type { AnswerFraming } from './answer-framing.js';

/** Whether a connection can be reset. A TLS connection ends in order only with an alert of its own. */
function isResettable(socket: unknown): socket is Socket {
  return socket instanceof Socket && !(socket instanceof TLSSocket);
}

/** Ends an answer of which a part may have been sent by a reset of its connection. */
export function abortAnswer(response: ServerResponse): void {
  const { socket } = response;
  if (isResettable(socket)) socket.resetAndDestroy();
  else response.destroy();
}

/**
 * Makes whatever closes the connection before the answer is complete reset it, if the answer's end
 * can't be told otherwise: callers of HTTP/1.0 know no chunks.
 */
export function setResetOnClose(response: ServerResponse, framing: AnswerFraming): void {
  const { socket, req: request } = response;
  const isChunkable = request.httpVersionMajor === 1 && request.httpVersionMinor > 0;
  if (framing === 'none' || framing === 'length' || isChunkable || !isResettable(socket)) return;
  const { destroy } = socket;
  socket.destroy = (...args) => {
    socket.destroy = destroy;
    return args[0] === undefined ? socket.resetAndDestroy() : destroy.apply(socket, args);
  };
  response.prependOnceListener('finish', () => {
    socket.destroy = destroy;
  });
}
