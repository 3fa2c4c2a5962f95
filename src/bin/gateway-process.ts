/** The gateway daemon as a process: its arguments, settings file, signals and exit codes. */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import {
  Kernel,
  type Log,
  type OpenSocket,
  clockService,
  createRateLimitedLog,
  createSystemClock,
  createSystemRandom,
  logService,
  randomService,
  targetSocketService,
} from '../kernel/index.js';
import { Gateway, type GatewaySettings, checkGatewaySettings } from '../gateway/index.js';
import { answerGuardService, computeAnswerBytes, createAnswerGuard } from '../overload/index.js';
import { createKvStore, kvStoreService } from '../platform/index.js';
import { formatMistake } from '../settings/ini.js';

const EXIT_SETTINGS = 3;
const EXIT_BROKEN = 70;
/** How often the settings file is looked at, in milliseconds. */
const RELOAD_PACE = 5000;

const SETTINGS_VARIABLE = 'ORCHIDBEAM_SETTINGS';

function fail(code: number, message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(code);
}

function readText(file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return undefined;
  }
}

function readSettings(file: string, text: string): GatewaySettings {
  return checkGatewaySettings(file, text).caseOf({
    Left: (mistakes) => fail(EXIT_SETTINGS, mistakes.map(formatMistake).join('\n')),
    Right: (settings) => settings,
  });
}

/** Takes a changed file; one with mistakes is reported and changes nothing. */
function refreshSettings(file: string, text: string, gateway: Gateway, log: Log): void {
  checkGatewaySettings(file, text).caseOf({
    Left: (mistakes) =>
      log.error('settings.refused', { why: mistakes.map(formatMistake).join('; ') }),
    Right: (settings) => gateway.reconfigure(settings),
  });
}

async function start(openTargetSocket: OpenSocket): Promise<void> {
  const { values } = parseArgs({ options: { settings: { type: 'string' } } });
  const file = values.settings ?? process.env[SETTINGS_VARIABLE];
  if (file === undefined) fail(EXIT_SETTINGS, `usage: --settings FILE, or ${SETTINGS_VARIABLE}`);
  let text = readText(file) ?? fail(EXIT_SETTINGS, `${file}: cannot be read; expected settings`);
  const settings = readSettings(file, text);
  // Without a handler a signal ends the process.
  process.on('SIGHUP', () => undefined);
  const { address, timeout } = settings.platform;
  const clock = createSystemClock();
  const log = createRateLimitedLog(clock, settings.log.level, { vm: settings.gateway.name });
  const guard = createAnswerGuard(clock, computeAnswerBytes(settings.machine.memory));
  const kernel = new Kernel()
    .provide(clockService, clock)
    .provide(randomService, createSystemRandom())
    .provide(logService, log)
    .provide(targetSocketService, openTargetSocket)
    .provide(answerGuardService, guard)
    .provide(kvStoreService, createKvStore(address, timeout, undefined, guard));
  const gateway = new Gateway(kernel, settings);
  let isStopping = false;
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    gateway
      .stop()
      .then(() => process.exit(0))
      .catch((error: Error) => fail(EXIT_BROKEN, error.stack ?? error.message));
  });
  const reload = () => {
    const changed = readText(file);
    if (changed === undefined || changed === text) return;
    text = changed;
    refreshSettings(file, text, gateway, log);
  };
  process.on('SIGHUP', reload);
  // The file may change without a signal.
  setInterval(reload, RELOAD_PACE).unref();
  await gateway.start();
}

/**
 * Runs the daemon until the process ends. The platform names its settings file in a variable.
 *
 * @param openTargetSocket opens the connections to targets
 */
export function runGatewayProcess(openTargetSocket: OpenSocket): void {
  start(openTargetSocket).catch((error: Error) => fail(EXIT_BROKEN, error.stack ?? error.message));
}
