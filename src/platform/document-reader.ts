/** Reads the values of a parsed JSON document and reports the first one that is wrong. */
import { type JsonObject, isJsonObject } from '../kernel/index.js';

/** Why a text could not be decoded. */
export interface DecodeFault {
  readonly kind: 'fault';
  /** The part that is wrong, or the parser's message. */
  readonly what: string;
  /** What was expected there. */
  readonly expected: string;
}

/** A fault in the text; thrown and caught within the decoders of this folder only. */
export class DecodeError extends Error {
  constructor(
    readonly what: string,
    readonly expected: string,
  ) {
    super(`${what}; expected ${expected}`);
  }
}

/** Returns an object; throws a {@link DecodeError} for any other value. */
export function readObject(value: unknown, what: string): JsonObject {
  if (!isJsonObject(value)) throw new DecodeError(what, 'an object');
  return value;
}

/** Returns a list; throws a {@link DecodeError} for any other value. */
export function readList(value: unknown, what: string): readonly unknown[] {
  if (!Array.isArray(value)) throw new DecodeError(what, 'a list');
  return value;
}

/** Returns a text; throws a {@link DecodeError} for any other value. */
export function readText(value: unknown, what: string): string {
  if (typeof value !== 'string') throw new DecodeError(what, 'a text');
  return value;
}

/** Returns a finite number; throws a {@link DecodeError} for any other value. */
export function readNumber(value: unknown, what: string): number {
  if (typeof value !== 'number' || !Number.isFinite(value)) throw new DecodeError(what, 'a number');
  return value;
}

/**
 * Describes why a text is not JSON. The parser's own message quotes the text, which may hold keys,
 * so only the position is taken from it.
 */
export function describeSyntaxError(error: unknown): string {
  if (!(error instanceof SyntaxError)) return String(error);
  const [, position] = /at position (\d+)/.exec(error.message) ?? [];
  return position === undefined ? 'syntax' : `syntax at position ${position}`;
}
