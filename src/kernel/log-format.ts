/** The logging service, and the format of its lines: key=value pairs. */
import { createServiceKey } from './kernel.js';

/** A value in a log line. */
export type LogValue = string | number | boolean | undefined;

/** The fields of one event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** The logging service. `event` is a short dotted name, such as `call.end`. */
export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** The key of the logging service. */
export const logService = createServiceKey<Log>('log');

/** The levels that can be set, from the quietest. */
export const LOG_LEVELS = ['silent', 'error', 'warn', 'info', 'debug'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

const UNQUOTED = /^[\w.:/@+,-]+$/;

function formatValue(value: Exclude<LogValue, undefined>): string {
  const text = String(value);
  return UNQUOTED.test(text) ? text : JSON.stringify(text);
}

/** Formats an event as `key=value` pairs; undefined fields are left out. */
export function formatEvent(event: string, fields: LogFields): string {
  const pairs = [`event=${event}`];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${key}=${formatValue(value)}`);
  }
  return pairs.join(' ');
}

/** Creates a log that drops every event. */
export function createSilentLog(): Log {
  const drop = () => undefined;
  return { debug: drop, info: drop, warn: drop, error: drop };
}
