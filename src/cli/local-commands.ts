/** Commands that need no running entry: settings, policies, credentials. */
import { readFileSync } from 'node:fs';
import { Either } from 'purify-ts';
import {
  type Service,
  checkService,
  hashToken,
  operatorSections,
  serviceSections,
} from '../config/index.js';
import { checkGatewaySettings, gatewaySections } from '../gateway/settings.js';
import {
  POLICY_DECISIONS,
  POLICY_VARIABLES,
  type PolicyView,
  applyPolicies,
} from '../policy/index.js';
import {
  type Fields,
  type Mistake,
  checkEntrySettings,
  entrySections,
  formatMistake,
  formatReference,
} from '../settings/index.js';
import {
  type Command,
  type CommandInput,
  type CommandResult,
  EXIT,
  createResult,
  rejectUsage,
} from './command.js';

function readFile(file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return undefined;
  }
}

function describeMistakes(mistakes: readonly Mistake[]): CommandResult {
  const text = mistakes.map(formatMistake).join('\n');
  return createResult(EXIT.invalid, text, { mistakes });
}

async function checkFile(
  input: CommandInput,
  check: (file: string, text: string) => Either<readonly Mistake[], unknown>,
): Promise<CommandResult> {
  const [file] = input.operands;
  const text = file === undefined ? undefined : readFile(file);
  if (file === undefined || text === undefined) {
    return rejectUsage(`${file ?? 'no file'} cannot be read`, 'a file');
  }
  return check(file, text).caseOf({
    Left: describeMistakes,
    Right: () => createResult(EXIT.ok, `${file}: no mistakes`, { file, mistakes: [] }),
  });
}

const SAMPLE_VIEW: PolicyView = {
  call: {
    ...{ method: 'GET', path: '/', caller: 'sample', class: 'normal', repeatable: true, bytes: 0 },
    ...{ deadline: 10_000, draw: 0.5, headers: {} },
  },
  pool: { busy: 0.5, waiting: 0, targets: 30, ready: 30 },
};

/** Samples are lines of JSON: `{"call": {…}, "pool": {…}}`, each over the defaults. */
function readSamples(text: string): readonly PolicyView[] | undefined {
  try {
    return text
      .split('\n')
      .filter((line) => line.trim() !== '')
      .map((line) => {
        const { call = {}, pool = {} } = JSON.parse(line) as Partial<PolicyView>;
        return {
          call: { ...SAMPLE_VIEW.call, ...call },
          pool: { ...SAMPLE_VIEW.pool, ...pool },
        };
      });
  } catch {
    return undefined;
  }
}

function tryService(service: Service, samples: readonly PolicyView[]): CommandResult {
  const rulings = samples.map((view) => ({ view, ruling: applyPolicies(service.policies, view) }));
  const lines = rulings.flatMap(({ view, ruling }) => [
    `${view.call.method} ${view.call.path} class=${view.call.class} busy=${view.pool.busy}`,
    ...ruling.steps.map(({ policy, outcome }) => `  ${policy}: ${outcome}`),
    `  => ${ruling.refusal === undefined ? 'runs' : `refused: ${ruling.refusal}`}`,
  ]);
  return createResult(EXIT.ok, lines.join('\n'), rulings);
}

async function tryPolicies(input: CommandInput): Promise<CommandResult> {
  const [file, sampleFile] = input.operands;
  const text = file === undefined ? undefined : readFile(file);
  if (file === undefined || text === undefined) {
    return rejectUsage(`${file ?? 'no file'} cannot be read`, 'a service file');
  }
  const sampleText = sampleFile === undefined ? '{}' : readFile(sampleFile);
  const samples = sampleText === undefined ? undefined : readSamples(sampleText);
  if (samples === undefined) {
    return rejectUsage(
      `${sampleFile ?? ''} cannot be read`,
      'lines of JSON with "call" and "pool"',
    );
  }
  return checkService(file, 'tried', text).caseOf({
    Left: describeMistakes,
    Right: (service) => tryService(service, samples),
  });
}

async function hashOperator(): Promise<CommandResult> {
  const token = process.env.ORCHIDBEAM_TOKEN ?? '';
  if (token.length < 12) {
    return rejectUsage('ORCHIDBEAM_TOKEN is too short', 'a token of at least 12 characters there');
  }
  const credential = await hashToken(token);
  return createResult(EXIT.ok, credential, { credential });
}

/** Writes the reference of all settings and documents as Markdown. */
export function writeReference(): string {
  const groups = [
    { title: 'Settings of an entry', sections: entrySections },
    { title: 'Settings of a gateway', sections: gatewaySections },
    { title: 'A service document', sections: serviceSections },
    { title: 'An operator document', sections: operatorSections },
  ];
  const parts = groups.flatMap(({ title, sections }) => [
    `## ${title}`,
    ...Object.entries(sections).map(([name, fields]) => formatReference(name, fields as Fields)),
  ]);
  const rows = [...POLICY_VARIABLES, ...POLICY_DECISIONS].map(
    ({ name, type, doc }) => `| \`${name}\` | ${type} | ${doc} |`,
  );
  const policies = ['## Policies', '', '| name | type | meaning |', '|---|---|---|', ...rows];
  return [...parts, policies.join('\n')].join('\n\n');
}

/** The commands that need no running entry. */
export const localCommands: readonly Command[] = [
  {
    name: 'settings check',
    operands: 'FILE',
    summary: 'Check the settings of an entry and report every mistake',
    options: {},
    run: (input) => checkFile(input, checkEntrySettings),
  },
  {
    name: 'settings check-gateway',
    operands: 'FILE',
    summary: 'Check the settings of a gateway and report every mistake',
    options: {},
    run: (input) => checkFile(input, checkGatewaySettings),
  },
  {
    name: 'settings reference',
    operands: '',
    summary: 'Print every setting and document key as Markdown',
    options: {},
    run: async () => createResult(EXIT.ok, writeReference()),
  },
  {
    name: 'policy check',
    operands: 'FILE',
    summary: 'Check a service document with its policies',
    options: {},
    run: (input) => checkFile(input, (file, text) => checkService(file, 'checked', text)),
  },
  {
    name: 'policy try',
    operands: 'FILE [SAMPLES]',
    summary: 'Show what the policies of a service document decide on sample calls, and why',
    options: {},
    run: tryPolicies,
  },
  {
    name: 'operator hash',
    operands: '',
    summary: 'Hash the token in ORCHIDBEAM_TOKEN for an operator document',
    options: {},
    run: hashOperator,
  },
];
