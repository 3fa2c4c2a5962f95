/** The forms in which targets answer: how the end of an answer is marked, and faults of its end. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Random } from '../kernel/index.js';
import { HEADERS, readHeader } from '../platform/index.js';
import type { RecordingTarget } from '../standin/index.js';

/** How a target sends an answer. */
export type AnswerForm =
  | 'length'
  | 'chunks'
  /** Without a length; its target closes the connection. */
  | 'close'
  /** Without a length; half of it comes, and the connection is reset. */
  | 'reset'
  /** Without a length; it comes again before the connection is closed. */
  | 'twice';

/** The probability of each form but the usual one. */
const PROBABILITIES: readonly (readonly [AnswerForm, number])[] = [
  ...[['chunks', 0.15] as const, ['close', 0.15] as const],
  ...[['reset', 0.02] as const, ['twice', 0.02] as const],
];

/** Draws the form of an answer. */
export function drawAnswerForm(random: Random): AnswerForm {
  let drawn = random.next();
  for (const [form, probability] of PROBABILITIES) {
    if (drawn < probability) return form;
    drawn -= probability;
  }
  return 'length';
}

/** Builds the headers that any answer of a target has. */
function buildHeaders({ headers }: IncomingMessage): Readonly<Record<string, string>> {
  return {
    [HEADERS.requestId]: readHeader(headers, HEADERS.requestId) ?? '',
    [HEADERS.signature]: 'sig.1',
  };
}

function composeUndelimited(request: IncomingMessage, body: string): string {
  const lines = Object.entries(buildHeaders(request)).map(([name, value]) => `${name}: ${value}`);
  return ['HTTP/1.1 200 OK', ...lines, '', body].join('\r\n');
}

/** What a target answers, and with what. */
export interface FormedAnswer {
  readonly target: RecordingTarget;
  readonly form: AnswerForm;
  readonly body: string;
}

/** Sends an answer in its form. */
export function sendFormedAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  { target, form, body }: FormedAnswer,
): void {
  const { socket } = request;
  if (socket.destroyed) return;
  switch (form) {
    case 'length':
      target.answer(request, response, body);
      return;
    case 'chunks':
      response.writeHead(200, buildHeaders(request));
      response.write(body);
      response.end();
      return;
    case 'close':
      socket.end(composeUndelimited(request, body));
      return;
    case 'reset': {
      const text = composeUndelimited(request, body);
      socket.write(text.slice(0, text.length / 2), () => socket.resetAndDestroy());
      return;
    }
    case 'twice':
      socket.end(composeUndelimited(request, body).repeat(2));
      return;
    default:
      form satisfies never;
  }
}
