/** Structured logs: one line of key=value pairs for each event. */
import { createConsola } from 'consola';
import { nameService } from './kernel.js';

/** A value that can stand in a log line. */
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

/** The name of the logging service. */
export const logService = nameService<Log>('log');

/** The levels that can be set, from the quietest. */
export const LOG_LEVELS = ['silent', 'error', 'warn', 'info', 'debug'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  silent: -999,
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

const PLAIN = /^[\w.:/@+,-]+$/;

function formatValue(value: Exclude<LogValue, undefined>): string {
  const text = String(value);
  return PLAIN.test(text) ? text : JSON.stringify(text);
}

/** Writes an event as `key=value` pairs; undefined fields are left out. */
export function formatEvent(event: string, fields: LogFields): string {
  const pairs = [`event=${event}`];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${key}=${formatValue(value)}`);
  }
  return pairs.join(' ');
}

/** Creates a log that writes lines to standard error; `base` fields stand in each line. */
export function createLog(level: LogLevel, base: LogFields = {}): Log {
  const consola = createConsola({
    level: CONSOLA_LEVELS[level],
    reporters: [
      {
        log: ({ date, type, args }) => {
          process.stderr.write(`time=${date.toISOString()} level=${type} ${String(args[0])}\n`);
        },
      },
    ],
    throttle: 0,
  });
  const write =
    (emit: (line: string) => void) =>
    (event: string, fields: LogFields = {}) =>
      emit(formatEvent(event, { ...base, ...fields }));
  return {
    debug: level === 'debug' ? write((line) => consola.debug(line)) : () => undefined,
    info: write((line) => consola.info(line)),
    warn: write((line) => consola.warn(line)),
    error: write((line) => consola.error(line)),
  };
}

/** Creates a log that drops every event. */
export function createSilentLog(): Log {
  const drop = () => undefined;
  return { debug: drop, info: drop, warn: drop, error: drop };
}
