/**
 * Finds the head of a second answer in a body that only the end of its connection ends.
 *
 * Such a body has no end that a parser could find, so whatever a faulty target sends behind it
 * becomes a part of it.
 */
import { TOKEN_PATTERN } from './head-check.js';

const START = Buffer.from('HTTP/1.');
const HEAD_END = '\r\n\r\n';

/** What begins a head, as far as it has arrived. */
const STATUS_LINE = 'HTTP/1.x xxx';
const STATUS_LINE_PATTERN = /^HTTP\/1\.\d [1-5]\d\d(?: |\r|$)/;

/** Longest head that is looked for; Node's client accepts no longer one. */
const MAX_HEAD_BYTES = 16_384;

type Verdict = 'answer' | 'no-answer' | 'incomplete';

/** Looks through the parts of one body. */
export class SecondAnswerScanner {
  /** What may become a head when more has arrived, or ends like the start of one. */
  #pending: Buffer = Buffer.alloc(0);

  #hasFound = false;

  /**
   * @param fields names of header fields that any answer has, in lower case: a body may well quote
   *   heads without them
   */
  constructor(private readonly fields: ReadonlySet<string>) {}

  /** Whether the body contains the head of another answer. */
  get hasFound(): boolean {
    return this.#hasFound;
  }

  /** Whether what has arrived ends within what may be a head. */
  get isInHead(): boolean {
    return this.#pending.length >= STATUS_LINE.length;
  }

  /** Looks through the next part of the body. */
  add(part: Buffer): void {
    if (this.#hasFound) return;
    if (this.#mayPostpone(part)) {
      this.#pending = Buffer.concat([this.#pending, part]);
      return;
    }
    let bytes = this.#pending.length === 0 ? part : Buffer.concat([this.#pending, part]);
    this.#pending = Buffer.alloc(0);
    for (;;) {
      const start = bytes.indexOf(START);
      if (start < 0) {
        this.#keepTail(bytes);
        return;
      }
      bytes = bytes.subarray(start);
      const verdict = this.#judge(bytes);
      if (verdict === 'answer') {
        this.#hasFound = true;
        return;
      }
      if (verdict === 'incomplete') {
        this.#pending = Buffer.from(bytes);
        return;
      }
      bytes = bytes.subarray(START.length);
    }
  }

  /** Whether nothing new is learned from a part, as it ends no line of what may be a head. */
  #mayPostpone(part: Buffer): boolean {
    const length = this.#pending.length + part.length;
    return this.isInHead && length < MAX_HEAD_BYTES && !part.includes('\n');
  }

  /** Judges bytes that begin like a head. */
  #judge(bytes: Buffer): Verdict {
    const text = bytes.toString('latin1', 0, MAX_HEAD_BYTES);
    if (text.length < STATUS_LINE.length) return 'incomplete';
    if (!STATUS_LINE_PATTERN.test(text)) return 'no-answer';
    const end = text.indexOf(HEAD_END);
    const [, ...lines] = text.slice(0, end < 0 ? undefined : end).split('\r\n');
    // The last line of a head that has not arrived whole may be cut anywhere.
    const complete = end < 0 ? lines.slice(0, -1) : lines;
    let hasField = false;
    for (const line of complete) {
      const name = line.slice(0, Math.max(0, line.indexOf(':'))).toLowerCase();
      if (!TOKEN_PATTERN.test(name)) return 'no-answer';
      hasField ||= this.fields.has(name);
    }
    if (hasField) return 'answer';
    return end < 0 && text.length < MAX_HEAD_BYTES ? 'incomplete' : 'no-answer';
  }

  /** Keeps the end of a part if the start of a head may be divided between it and the next one. */
  #keepTail(bytes: Buffer): void {
    for (let length = Math.min(START.length - 1, bytes.length); length > 0; length -= 1) {
      if (bytes.subarray(-length).equals(START.subarray(0, length))) {
        this.#pending = Buffer.from(bytes.subarray(-length));
        return;
      }
    }
  }
}
