/** A service as operators configure it: how calls find it, its pools, classes of work and policies. */
import { Either, Left, Right } from 'purify-ts';
import type { Address } from '../kernel/index.js';
import { type Policy, compilePolicy } from '../policy/index.js';
import {
  type Fields,
  type IniSection,
  type IniText,
  type Mistake,
  type FieldValues,
  checkSection,
  describeAddress,
  describeChoice,
  describeDuration,
  describeInteger,
  describeList,
  describeName,
  describeNumber,
  describeOptionalText,
  describeText,
  readIni,
  suggestName,
} from '../settings/index.js';

const serviceFields = {
  hosts: describeList(describeName('Host names that callers use; empty for any'), []),
  path_prefix: describeText('Path prefix of the calls of this service', '/'),
  homes: describeInteger('Entries at which calls meet, in each region; 0 works it out', [0, 64], 0),
  expected_rate: describeNumber('Calls a second expected in a region', [0, 1e6], 100),
  deadline: describeDuration('Deadline of a call that names none', 10_000),
  deadline_max: describeDuration('Longest deadline a caller may ask for', 120_000),
  queue_limit: describeInteger('Most calls waiting in one entry', [1, 100_000], 2000),
  retry_percent: describeNumber('Retries, in percent of the calls', [0, 100], 10),
  hedge_percent: describeNumber('Hedges, in percent of the calls', [0, 100], 5),
  replay_window: describeDuration('How long an idempotency key is remembered', 86_400_000),
  when_stale: describeChoice(
    'What an entry does that cannot show its configuration is current',
    ['serve', 'refuse'],
    'serve',
  ),
  stale_after: describeDuration('How long after the last proof that counts as stale', 18_000),
} satisfies Fields;

const poolFields = {
  role: describeOptionalText("Role of the VMs in the platform's list that are targets"),
  targets: describeList(describeAddress("Targets besides those of the platform's list"), []),
  slots: describeInteger('Calls a target runs at once; 0 when not known', [0, 10_000], 0),
  connections: describeInteger('Connections a target accepts', [1, 100_000], 250),
  cold_start: describeDuration('How long a new target is eased in', 5000),
  health_path: describeOptionalText('Path of a probe; empty for no probes'),
  probe_cost: describeDuration('Work that one probe costs a target', 6),
  measuring_budget: describeNumber(
    'Most work spent on probes by the whole system, in target milliseconds a second',
    [0, 1000],
    0,
  ),
} satisfies Fields;

const classFields = {
  weight: describeInteger('Share of the slots while other classes wait too', [1, 1000], 4),
  wait: describeDuration('Longest wait for a slot', 250),
} satisfies Fields;

const policyFields = {
  program: describeText('CEL expression that returns a decision'),
} satisfies Fields;

/** The sections of a service document, for the reference. */
export const serviceSections = {
  service: serviceFields,
  'pool NAME': poolFields,
  'class NAME': classFields,
  'policy NAME': policyFields,
} as const;

/** A pool of targets. */
export interface PoolConfig extends FieldValues<typeof poolFields> {
  readonly name: string;
  readonly targets: readonly Address[];
}

/** A class of work. */
export interface ClassConfig extends FieldValues<typeof classFields> {
  readonly name: string;
}

/** A checked service. */
export interface Service extends FieldValues<typeof serviceFields> {
  readonly name: string;
  readonly pools: readonly PoolConfig[];
  readonly classes: readonly ClassConfig[];
  readonly policies: readonly Policy[];
}

/** The pool that calls use unless a policy says otherwise. */
export const MAIN_POOL = 'main';

/** The class of a call that names none. */
export const DEFAULT_CLASS = 'normal';

const DEFAULT_CLASSES: readonly ClassConfig[] = [
  { name: 'urgent', weight: 16, wait: 250 },
  { name: DEFAULT_CLASS, weight: 8, wait: 250 },
  { name: 'bulk', weight: 2, wait: 5000 },
];

interface Heading {
  readonly kind: string;
  readonly name: string;
}

function readHeading(section: IniSection): Heading {
  const [kind = '', name = ''] = section.name.split(/\s+/, 2);
  return { kind, name };
}

function checkPolicy(file: string, section: IniSection, name: string) {
  return checkSection(file, section, policyFields).chain(({ program }) =>
    compilePolicy(name, program).mapLeft((mistake): readonly Mistake[] => {
      const line = section.entries.find((entry) => entry.key === 'program')?.line ?? section.line;
      const what = `policy ${name}, column ${mistake.column} of the program: ${mistake.what}`;
      return [{ file, line, what, expected: mistake.expected }];
    }),
  );
}

function checkPool(file: string, section: IniSection, name: string) {
  return checkSection(file, section, poolFields).chain(
    (values): Either<readonly Mistake[], PoolConfig> => {
      if (values.role !== '' || values.targets.length > 0) return Right({ ...values, name });
      const what = `[${section.name}] names no targets`;
      return Left([{ file, line: section.line, what, expected: 'role, targets, or both' }]);
    },
  );
}

const KINDS = ['service', 'pool', 'class', 'policy'];

/** Gathers the parts of a service and the mistakes met on the way. */
interface Parts {
  readonly mistakes: Mistake[];
  readonly pools: PoolConfig[];
  readonly classes: ClassConfig[];
  readonly policies: Policy[];
  base: FieldValues<typeof serviceFields> | undefined;
}

function checkPart(ini: IniText, section: IniSection, parts: Parts): void {
  const { kind, name } = readHeading(section);
  const fail = (more: readonly Mistake[]) => parts.mistakes.push(...more);
  switch (kind) {
    case 'service':
      checkSection(ini.file, section, serviceFields)
        .ifLeft(fail)
        .ifRight((values) => {
          parts.base = values;
        });
      return;
    case 'pool':
      checkPool(ini.file, section, name || MAIN_POOL)
        .ifLeft(fail)
        .ifRight((pool) => parts.pools.push(pool));
      return;
    case 'class':
      checkSection(ini.file, section, classFields)
        .ifLeft(fail)
        .ifRight((values) => parts.classes.push({ ...values, name }));
      return;
    case 'policy':
      checkPolicy(ini.file, section, name)
        .ifLeft(fail)
        .ifRight((policy) => parts.policies.push(policy));
      return;
    default: {
      const what = `unknown section [${section.name}]`;
      fail([{ file: ini.file, line: section.line, what, expected: suggestName(kind, KINDS) }]);
    }
  }
}

/** Checks the text of a service document; all its mistakes come together. */
export function checkService(
  file: string,
  name: string,
  text: string,
): Either<readonly Mistake[], Service> {
  const ini = readIni(file, text);
  const parts: Parts = {
    ...{ mistakes: [...ini.mistakes], pools: [], classes: [], policies: [] },
    base: undefined,
  };
  for (const section of ini.sections) checkPart(ini, section, parts);
  const required = [
    { section: 'service', present: ini.sections.some((section) => section.name === 'service') },
    {
      section: 'pool',
      present: ini.sections.some((s) => s.name === 'pool' || s.name === `pool ${MAIN_POOL}`),
    },
  ];
  for (const { section, present } of required) {
    if (present) continue;
    const expected = `a section [${section}]`;
    parts.mistakes.push({ file, line: 0, what: `section [${section}] is missing`, expected });
  }
  if (parts.mistakes.length > 0 || parts.base === undefined) return Left(parts.mistakes);
  const classes = parts.classes.length > 0 ? parts.classes : DEFAULT_CLASSES;
  const { pools, policies } = parts;
  return Right({ ...parts.base, name, pools, classes, policies });
}
