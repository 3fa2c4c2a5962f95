/**
 * The settings of an entry daemon: its listeners, its failure domain, its connections to other
 * services.
 */
import { type Either, Left, Right } from 'purify-ts';
import { LOG_LEVELS } from '../kernel/index.js';
import { type SectionValues, checkSettingsFile } from './file.js';
import { type Mistake } from './ini.js';
import {
  type Fields,
  describeAddress,
  describeChoice,
  describeDuration,
  describeInteger,
  describeList,
  describeName,
  describeOptionalAddress,
  describeOptionalText,
  describeText,
} from './schema.js';

const entryFields = {
  name: describeName('Name of this VM, shown in status and logs'),
  failure_domain: describeName('Region and failure domain, such as hu/bud1'),
  callers: describeAddress('Where callers connect'),
  peers: describeAddress('Where the other entries connect, over gRPC'),
  relay: describeAddress('Where other entries hand over calls for a service that is at home here'),
  admin: describeAddress('Where operators connect'),
  seeds: describeList(
    describeAddress("Peer addresses of other entries, besides those of the platform's list"),
    [],
  ),
} satisfies Fields;

const platformFields = {
  address: describeAddress('Address of the platform service'),
  timeout: describeDuration('Longest wait for one platform call', 2000),
  calls_per_second: describeInteger('Most platform calls a second for control', [1, 1000], 50),
  claims_per_second: describeInteger(
    'Most platform calls a second for idempotency keys',
    [1, 1000],
    200,
  ),
} satisfies Fields;

const securityFields = {
  peer_secret: describeText('Secret shared by all entries; at least 16 characters'),
  operator: describeName('Name of the operator who can act before any is configured', 'root'),
  operator_credential: describeText(
    'Hash of that operator\'s token, from "orchidbeam operator hash"',
  ),
  admin_cert: describeOptionalText(
    'PEM file of the certificate for operators; empty for plain HTTP',
  ),
  admin_key: describeOptionalText('PEM file of the private key for operators'),
  callers_cert: describeOptionalText(
    'PEM file of the certificate for callers; empty for plain HTTP',
  ),
  callers_key: describeOptionalText('PEM file of the private key for callers'),
  peers_cert: describeOptionalText('PEM file of the certificate for other entries; empty for none'),
  peers_key: describeOptionalText('PEM file of the private key for other entries'),
  peers_ca: describeOptionalText("PEM file of the authority that signs the entries' certificates"),
} satisfies Fields;

const DEFAULT_MEMORY_MB = 250;

const limitsFields = {
  max_calls: describeInteger('Most calls held by this daemon at once', [1, 100_000], 5000),
  max_connections: describeInteger('Most connections of callers at once', [1, 100_000], 10_000),
  memory: describeInteger(
    'Memory of this VM in MB; clients may occupy a part of it',
    [64, 1_000_000],
    DEFAULT_MEMORY_MB,
  ),
  header_timeout: describeDuration('Longest wait for the headers of a call', 10_000),
  body_timeout: describeDuration('Longest pause inside the body of a call', 30_000),
  max_header_bytes: describeInteger('Most bytes of headers in a call', [1024, 65_536], 16_384),
  answer_ttl: describeDuration('How long callers keep the answer to "which entries"', 5000),
  stop_grace: describeDuration('Longest planned stop before calls in flight are ended', 60_000),
} satisfies Fields;

const logFields = {
  level: describeChoice('The lowest level that is written', LOG_LEVELS, 'info'),
  calls: describeChoice('Whether each call is logged', ['all', 'failed', 'none'], 'failed'),
} satisfies Fields;

const metricsFields = {
  statsd: describeOptionalAddress('Address of a StatsD server'),
} satisfies Fields;

/** The sections of an entry daemon's settings, in the order of the reference. */
export const entrySections = {
  entry: entryFields,
  platform: platformFields,
  security: securityFields,
  limits: limitsFields,
  log: logFields,
  metrics: metricsFields,
} as const;

/** The checked settings of an entry daemon. */
export type EntrySettings = SectionValues<typeof entrySections>;

const MIN_SECRET_LENGTH = 16;

function checkConsistency(file: string, settings: EntrySettings): readonly Mistake[] {
  const mistakes: Mistake[] = [];
  const report = (what: string, expected: string) =>
    mistakes.push({ file, line: 0, what, expected });
  if (settings.security.peer_secret.length < MIN_SECRET_LENGTH) {
    report('[security] peer_secret is too short', `at least ${MIN_SECRET_LENGTH} characters`);
  }
  for (const side of ['admin', 'callers'] as const) {
    const cert = settings.security[`${side}_cert`];
    const key = settings.security[`${side}_key`];
    if ((cert === '') !== (key === '')) {
      report(`[security] has only one of ${side}_cert and ${side}_key`, 'both or neither');
    }
  }
  const { peers_cert: cert, peers_key: key, peers_ca: ca } = settings.security;
  const givenCount = [cert, key, ca].filter((path) => path !== '').length;
  if (givenCount !== 0 && givenCount !== 3) {
    report('[security] has only some of peers_cert, peers_key, peers_ca', 'all or none');
  }
  return mistakes;
}

/** Checks the text of a settings file and reports all mistakes at once. */
export function checkEntrySettings(
  file: string,
  text: string,
): Either<readonly Mistake[], EntrySettings> {
  return checkSettingsFile(file, text, entrySections).chain((settings) => {
    const mistakes = checkConsistency(file, settings);
    return mistakes.length > 0 ? Left(mistakes) : Right(settings);
  });
}
