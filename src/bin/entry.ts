#!/usr/bin/env -S node --max-old-space-size=160 --max-semi-space-size=2
/** The entry daemon as a process: `orchidbeam-entry --settings FILE`. */
import { readFileSync, watch } from 'node:fs';
import { parseArgs } from 'node:util';
import {
  Kernel,
  type KeyPair,
  clockService,
  createLog,
  createSilentMetrics,
  createStatsdMetrics,
  createSystemClock,
  createSystemRandom,
  createTcpNetwork,
  logService,
  metricsService,
  networkService,
  randomService,
} from '../kernel/index.js';
import { startAdminServer } from '../admin/index.js';
import { STRATEGIES, type Strategy } from '../balance/index.js';
import { Entry } from '../entry/index.js';
import { type PeerKeyFiles, createGrpcTransport, peerTransportService } from '../peer/index.js';
import { computeAnswerBytes, createAnswerGuard } from '../overload/index.js';
import { createKvPlatform, createKvStore, platformService } from '../platform/index.js';
import { type EntrySettings, checkEntrySettings, formatMistake } from '../settings/index.js';

/** Calls to the store at once, and one connection for each watch that waits. */
const STORE_SOCKETS = 20;

const EXIT_USAGE = 2;
const EXIT_SETTINGS = 3;
const EXIT_BROKEN = 70;
const KEY_REFRESH = 10_000;

function fail(code: number, message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(code);
}

function readSettings(file: string): EntrySettings {
  let text = '';
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    fail(EXIT_SETTINGS, `${file}: cannot be read; expected a settings file`);
  }
  return checkEntrySettings(file, text).caseOf({
    Left: (mistakes) => fail(EXIT_SETTINGS, mistakes.map(formatMistake).join('\n')),
    Right: (settings) => settings,
  });
}

function readKeys(cert: string, key: string): KeyPair | undefined {
  if (cert === '') return undefined;
  return { cert: readFileSync(cert, 'utf8'), key: readFileSync(key, 'utf8') };
}

function findPeerKeys({ security }: EntrySettings): PeerKeyFiles | undefined {
  if (security.peers_cert === '') return undefined;
  const { peers_cert: cert, peers_key: key, peers_ca: ca } = security;
  return { cert, key, ca, refreshIntervalMs: KEY_REFRESH };
}

function buildKernel(settings: EntrySettings): Kernel {
  const network = createTcpNetwork();
  const { platform, security, log, metrics, entry } = settings;
  const { address, timeout } = platform;
  const statsd = metrics.statsd === 'none' ? undefined : metrics.statsd;
  const clock = createSystemClock();
  const guard = createAnswerGuard(clock, computeAnswerBytes(settings.limits.memory));
  const store = createKvStore(address, timeout, STORE_SOCKETS, guard);
  return new Kernel()
    .provide(clockService, clock)
    .provide(randomService, createSystemRandom())
    .provide(networkService, network)
    .provide(logService, createLog(log.level, { entry: entry.name }))
    .provide(
      metricsService,
      statsd === undefined
        ? createSilentMetrics()
        : createStatsdMetrics(statsd, { entry: entry.name }),
    )
    .provide(platformService, createKvPlatform(store))
    .provide(
      peerTransportService,
      createGrpcTransport(security.peer_secret, findPeerKeys(settings)),
    );
}

/** Calls `reload` when a file changes; a pair that is half written is left until the next change. */
function watchFiles(files: readonly string[], reload: () => void): void {
  const attempt = () => {
    try {
      reload();
    } catch {
      // The keys in use stay in use.
    }
  };
  for (const file of files) {
    if (file !== '') watch(file, { persistent: false }, attempt);
  }
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { settings: { type: 'string' }, strategy: { type: 'string' } },
  });
  const { settings: file } = values;
  if (file === undefined) fail(EXIT_USAGE, 'usage: orchidbeam-entry --settings FILE');
  const strategy = STRATEGIES.find((known): known is Strategy => known === values.strategy);
  if (values.strategy !== undefined && strategy === undefined) {
    fail(EXIT_USAGE, `--strategy ${values.strategy}; expected one of ${STRATEGIES.join(', ')}`);
  }
  const settings = readSettings(file);
  const { security } = settings;
  const readCallersKeys = () => readKeys(security.callers_cert, security.callers_key);
  const readAdminKeys = () => readKeys(security.admin_cert, security.admin_key);
  const kernel = buildKernel(settings);
  const log = kernel.find(logService);
  const entry = new Entry(kernel, settings, { strategy, callersKeys: readCallersKeys() });
  await entry.start();
  const admin = await startAdminServer(kernel, entry, readAdminKeys());
  process.stdout.write('started\n');

  watchFiles([security.callers_cert, security.callers_key], () => {
    const keys = readCallersKeys();
    if (keys !== undefined) entry.replaceCallersKeys(keys);
    log.info('keys.reloaded', { listener: 'callers' });
  });
  watchFiles([security.admin_cert, security.admin_key], () => {
    const keys = readAdminKeys();
    if (keys !== undefined) admin.replaceKeys(keys);
    log.info('keys.reloaded', { listener: 'admin' });
  });

  const hurry = new AbortController();
  let stopping = false;
  const stop = () => {
    if (stopping) {
      hurry.abort();
      return;
    }
    stopping = true;
    entry
      .stop(undefined, hurry.signal)
      .then(() => {
        admin.close();
        process.exit(0);
      })
      .catch((error: Error) => fail(EXIT_BROKEN, error.stack ?? error.message));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

main().catch((error: Error) => fail(EXIT_BROKEN, error.stack ?? error.message));
