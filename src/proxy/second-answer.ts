/**
 * Finds the head of a second answer in a body that only the end of its connection ends.
 *
 * Such a body has no end that a parser could find, so whatever a faulty target sends behind it
 * becomes a part of it.
 *
 * A head may begin anywhere, so several may have begun at once. They share all lines behind their
 * status lines: a line that is no header field ends them all. So only the youngest is remembered,
 * and each byte is looked at once.
 */
import { TOKEN_PATTERN } from './head-check.js';

const START = Buffer.from('HTTP/1.');

/** What may stand at each place of what begins a head. */
const STATUS_LINE_PATTERNS = [
  ...[/H/, /T/, /T/, /P/, /\//, /1/, /\./, /\d/, / /, /[1-5]/, /\d/, /\d/, /[ \r]/],
];

/** Length of the least that counts as a head: `HTTP/1.x xxx`. */
const MIN_HEAD_BYTES = STATUS_LINE_PATTERNS.length - 1;

/** Longest head that is looked for; Node's client accepts no longer one. */
const MAX_HEAD_BYTES = 16_384;

/** How much is looked at byte by byte before bytes are skipped again that decide nothing. */
const BLOCK_BYTES = 256;

/** How far the end of a line is searched for at once. */
const SEARCH_BYTES = 4096;

const BYTE_VALUES = 256;
const CR = 13;
const LF = 10;
const COLON = 58;
const FIRST_BYTE = START[0];

/** Maps the bytes that match a pattern of one character to their lower case, and others to 0. */
function compileByteSet(pattern: RegExp): readonly number[] {
  return Array.from({ length: BYTE_VALUES }, (_, byte) => {
    const character = String.fromCharCode(byte);
    return pattern.test(character) ? character.toLowerCase().charCodeAt(0) : 0;
  });
}

const STATUS_LINE_BYTES = Uint8Array.from(STATUS_LINE_PATTERNS.flatMap(compileByteSet));
const TOKEN_BYTES = Uint8Array.from(compileByteSet(TOKEN_PATTERN));

/** No head; a position is never negative. */
const NONE = -1;

/** Looks through the parts of one body. */
export class SecondAnswerScanner {
  /** Length of what has been looked at. */
  #position = 0;

  /** How many bytes of what begins a head stand at the end. */
  #matched = 0;

  /** Where the youngest head begins whose status line has ended. */
  #head = NONE;

  /** Where the youngest head begins whose status line has not ended yet. */
  #statusLine = NONE;

  #previousByte = 0;

  readonly #fields: readonly Buffer[];

  /** The name in the current line in lower case, up to the length of the longest field. */
  readonly #name: Buffer;

  #nameLength = 0;

  /** Whether the current line is read up to its name, has a valid one, or can't be a field. */
  #line: 'name' | 'field' | 'invalid' = 'name';

  #hasFound = false;

  /**
   * @param fields names of header fields that any answer has, in lower case: a body may well quote
   *   heads without them
   */
  constructor(fields: ReadonlySet<string>) {
    this.#fields = [...fields].map((field) => Buffer.from(field));
    this.#name = Buffer.alloc(Math.max(0, ...this.#fields.map(({ length }) => length)));
  }

  /** Whether the body contains the head of another answer. */
  get hasFound(): boolean {
    return this.#hasFound;
  }

  /** Whether what has arrived ends within what may be a head. */
  get isInHead(): boolean {
    return !this.#hasFound && (this.#matched === MIN_HEAD_BYTES || this.#hasHead);
  }

  /** Looks through the next part of the body. */
  add(part: Buffer): void {
    for (let at = 0; at < part.length && !this.#hasFound;) {
      const start = this.#matched > 0 ? at : this.#findNext(part, at);
      if (start > at) this.#previousByte = part[start - 1];
      this.#position += start - at;
      at = Math.min(start + BLOCK_BYTES, part.length);
      this.#scan(part, start, at);
      this.#forgetLongHeads();
    }
  }

  get #hasHead(): boolean {
    return this.#head !== NONE || this.#statusLine !== NONE;
  }

  /** Finds the next byte that may decide something, or one before it. */
  #findNext(part: Buffer, at: number): number {
    if (this.#head !== NONE && this.#line === 'name') return at;
    const rest = this.#hasHead ? part.subarray(at, at + SEARCH_BYTES) : part.subarray(at);
    const lineEnd = this.#hasHead ? rest.indexOf(LF) : -1;
    const start = rest.indexOf(START);
    if (start >= 0 && (lineEnd < 0 || start < lineEnd)) return at + start;
    if (lineEnd >= 0) return at + lineEnd;
    // A piece of a start may be at the end.
    return at + Math.max(0, rest.length - START.length + 1);
  }

  #scan(part: Buffer, from: number, to: number): void {
    for (let at = from; at < to; at += 1) {
      const byte = part[at];
      this.#position += 1;
      if (byte === LF && this.#previousByte === CR) this.#endLine();
      else if (this.#head !== NONE && this.#line === 'name') this.#readName(byte);
      this.#matchStatusLine(byte);
      this.#previousByte = byte;
    }
  }

  /** Matches one byte of what may begin a head. Only its first byte may begin another one. */
  #matchStatusLine(byte: number): void {
    if (STATUS_LINE_BYTES[this.#matched * BYTE_VALUES + byte] === 0) {
      this.#matched = byte === FIRST_BYTE ? 1 : 0;
      return;
    }
    this.#matched += 1;
    if (this.#matched < STATUS_LINE_PATTERNS.length) return;
    this.#statusLine = this.#position - this.#matched;
    this.#matched = 0;
  }

  #readName(byte: number): void {
    if (byte === COLON) {
      this.#line = this.#nameLength > 0 ? 'field' : 'invalid';
    } else if (TOKEN_BYTES[byte] === 0) {
      this.#line = 'invalid';
    } else {
      // What does not fit is longer than any field, and is not stored.
      this.#name[this.#nameLength] = TOKEN_BYTES[byte];
      this.#nameLength += 1;
    }
  }

  #endLine(): void {
    if (this.#head !== NONE) {
      if (this.#line !== 'field') this.#head = NONE;
      else if (this.#position - this.#head <= MAX_HEAD_BYTES) this.#hasFound ||= this.#isOfAnswer();
    }
    if (this.#statusLine !== NONE) this.#head = this.#statusLine;
    this.#statusLine = NONE;
    this.#line = 'name';
    this.#nameLength = 0;
  }

  /** Whether the current line is a field that any answer has. */
  #isOfAnswer(): boolean {
    for (const field of this.#fields) {
      if (this.#hasName(field)) return true;
    }
    return false;
  }

  #hasName(name: Buffer): boolean {
    if (name.length !== this.#nameLength) return false;
    for (let at = 0; at < name.length; at += 1) {
      if (name[at] !== this.#name[at]) return false;
    }
    return true;
  }

  #forgetLongHeads(): void {
    const earliest = this.#position - MAX_HEAD_BYTES;
    if (this.#head <= earliest) this.#head = NONE;
    if (this.#statusLine <= earliest) this.#statusLine = NONE;
  }
}
