/** The settings of a gateway daemon, in INI. */
import { type Either } from 'purify-ts';
import { LOG_LEVELS } from '../kernel/index.js';
import { type SectionValues, checkSettingsFile } from '../settings/file.js';
import { type Mistake } from '../settings/ini.js';
import {
  type Field,
  type Fields,
  describeAddress,
  describeChoice,
  describeDuration,
  describeInteger,
  describeList,
  describeName,
  describeNumber,
  describeOptionalAddress,
} from '../settings/schema.js';

const PORT_RANGE: readonly [number, number] = [1, 65_535];
const BOOLEANS = ['true', 'false'] as const;
const COUNT_RANGE: readonly [number, number] = [0, 1_000_000];

/** A failure domain and the region that it belongs to. */
export interface DomainRegion {
  readonly domain: string;
  readonly region: string;
}

const domainRegion: Field<DomainRegion> = {
  doc: 'Failure domains and their regions',
  expected: 'domain:region',
  fallback: undefined,
  read: (text) => {
    const [domain = '', region = '', more] = text.split(':');
    return domain === '' || region === '' || more !== undefined ? undefined : { domain, region };
  },
};

const gatewayFields = {
  name: describeName('Name of this VM, shown in logs'),
  ip: describeName('IP number of this VM'),
  domain: describeName('Failure domain of this VM'),
  region: describeName('Region of this VM'),
  domains: describeList(domainRegion, []),
  callers: describeAddress('Where callers connect'),
  readiness: describeAddress('Where the platform asks whether this daemon is ready'),
  directory: describeAddress('Where callers ask which addresses to use'),
  metrics: describeOptionalAddress('Where metrics are read, at /metrics'),
  peer_ports: describeList(
    describeInteger(
      'First and last port for daemons among themselves; the first two are used',
      PORT_RANGE,
    ),
  ),
  seeds: describeList(describeAddress('Addresses of some other daemons; ports do not matter'), []),
  first_start: describeChoice(
    'Whether the whole system starts for the first time',
    BOOLEANS,
    'false',
  ),
} satisfies Fields;

const DEFAULT_MEMORY_MB = 250;
const DEFAULT_DESCRIPTORS = 4096;

const machineFields = {
  cpu_share: describeNumber('Share of a core that this VM has', [0, 1000]),
  core_speed: describeNumber('Speed of that core, as a multiple of the usual', [0, 1000], 1),
  memory: describeInteger(
    'Memory of this VM in MB; clients may occupy a part of it',
    [64, 1_000_000],
    DEFAULT_MEMORY_MB,
  ),
  descriptors: describeInteger(
    'File descriptors that the daemon may open; connections of callers may take a part of them',
    [256, 10_000_000],
    DEFAULT_DESCRIPTORS,
  ),
} satisfies Fields;

const platformFields = {
  address: describeAddress("Address of the platform's store"),
  timeout: describeDuration('Longest wait for one call to the store', 1000),
} satisfies Fields;

const promiseFields = {
  grace: describeInteger(
    'Seconds from the order to stop until the platform ends the process',
    COUNT_RANGE,
  ),
  answer_ttl: describeInteger('Most seconds for which callers keep an answer', COUNT_RANGE),
  config_apply: describeDuration(
    'Time from the acknowledgement of a configuration until it is in force everywhere',
    2000,
  ),
  drain: describeDuration(
    'Time from the acknowledgement that a target drains until it gets nothing any more',
    2000,
  ),
  retry_ratio: describeNumber('Repeats allowed for each request, over all daemons', [0, 100]),
  retry_window: describeInteger('Seconds over which repeats are counted', COUNT_RANGE),
  retry_slack: describeNumber('Repeats allowed besides, over all daemons', COUNT_RANGE),
  contact: describeDuration(
    'Time from a partition between a daemon and all targets until its callers are served again',
    3000,
  ),
  cold_overshoot: describeNumber(
    'What a cold target may get in a second, as a multiple of what its service says that one bears',
    [0, 1000],
    1,
  ),
  cold_slack: describeNumber(
    'Requests that a cold target may get in a second besides',
    COUNT_RANGE,
    0,
  ),
  fail_closed: describeChoice(
    'Whether requests that need a key are rejected once the configuration is unconfirmed for long',
    BOOLEANS,
    'false',
  ),
  revoke: describeDuration(
    'Time since the configuration was last confirmed, after which a daemon may reject them',
    5000,
  ),
  quota_window: describeNumber(
    'Seconds over which the quota of an organisation is counted',
    [0, 3600],
    5,
  ),
  quota_overshoot: describeNumber(
    'Fraction by which an organisation may exceed its quota in that time',
    [0, 1000],
    0.1,
  ),
  quota_slack: describeNumber(
    'Requests by which an organisation may exceed its quota in that time besides',
    COUNT_RANGE,
    20,
  ),
  probes_per_second: describeNumber(
    'Most probes a second and target, over all daemons',
    [0.1, 1_000_000],
  ),
} satisfies Fields;

const tuningFields = {
  homes: describeInteger('Entries that callers are sent to, at least', [1, 1000], 3),
  home_capacity: describeNumber('Cores that the homes bring together, at least', [0, 1000], 1.2),
  probe_interval: describeDuration('Time between two probes of a target from one home', 100),
} satisfies Fields;

const logFields = {
  level: describeChoice('The lowest level that is written', LOG_LEVELS, 'info'),
} satisfies Fields;

/** The sections of the settings, in the order of the reference. */
export const gatewaySections = {
  gateway: gatewayFields,
  machine: machineFields,
  platform: platformFields,
  promises: promiseFields,
  tuning: tuningFields,
  log: logFields,
} as const;

/** The checked settings of a gateway daemon. */
export type GatewaySettings = SectionValues<typeof gatewaySections>;

/** Checks the text of a settings file and reports all mistakes at once. */
export function checkGatewaySettings(
  file: string,
  text: string,
): Either<readonly Mistake[], GatewaySettings> {
  return checkSettingsFile(file, text, gatewaySections);
}
