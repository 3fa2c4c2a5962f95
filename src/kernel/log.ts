/** Structured logs by `consola`: one line of key=value pairs for each event. */
import { createConsola } from 'consola';
import { type Log, type LogFields, type LogLevel, formatEvent } from './log-format.js';

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  silent: -999,
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/** Creates a log that writes lines to standard error; `base` fields are part of each line. */
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
