/** Deployments and what goes wrong in them during an experiment. */
import { createSeededRandom } from '../kernel/index.js';
import type { TargetFault } from '../standin/index.js';
import type { CallKind } from './arrivals.js';

/** A deployment of today's size. */
export interface Deployment {
  readonly name: string;
  /** File under `examples` with the service. */
  readonly service: string;
  readonly serviceName: string;
  readonly host: string;
  readonly role: string;
  readonly workers: number;
  readonly slots: number;
  /** Mean work of a lookup in milliseconds; the pages give none, so one is assumed here. */
  readonly meanWork: number;
  readonly domains: readonly string[];
  readonly kinds: readonly CallKind[];
}

/** The deployments of the brief. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    ...{ name: 'konyvhaz', service: 'konyvhaz/service/ledger.ini', serviceName: 'ledger' },
    ...{ host: 'ledger.konyvhaz.example', role: 'ledger', workers: 30, slots: 6, meanWork: 100 },
    domains: ['hu/bud1', 'hu/bud2', 'hu/vac1'],
    kinds: [
      { name: 'lookup', share: 0.88, method: 'GET', path: '/balance', work: 1 },
      { name: 'posting', share: 0.1, method: 'POST', path: '/postings', work: 1.5 },
      { name: 'export', share: 0.02, method: 'GET', path: '/export/2026', work: 3, class: 'bulk' },
    ],
  },
  {
    ...{ name: 'zvolen', service: 'zvolen/service/catalogue.ini', serviceName: 'catalogue' },
    ...{ host: 'catalogue.zvolen.example', role: 'catalogue', workers: 30, slots: 3, meanWork: 60 },
    domains: ['sk/zv1', 'sk/zv2', 'sk/zv3'],
    kinds: [
      { name: 'lookup', share: 0.84, method: 'GET', path: '/stock', work: 1 },
      { name: 'urgent', share: 0.06, method: 'GET', path: '/ramp', work: 1, class: 'urgent' },
      { name: 'deposit', share: 0.1, method: 'POST', path: '/deposits', work: 1.5 },
    ],
  },
  {
    ...{ name: 'documents', service: 'konyvhaz/service/documents.ini', serviceName: 'documents' },
    ...{ host: 'documents.konyvhaz.example', role: 'documents', workers: 6, slots: 6 },
    meanWork: 100,
    domains: ['hu/bud1', 'hu/bud2', 'hu/vac1'],
    kinds: [
      { name: 'view', share: 0.4, method: 'GET', path: '/receipts/1', work: 1 },
      { name: 'upload', share: 0.6, method: 'POST', path: '/receipts', work: 2, bytes: 200_000 },
    ],
  },
  {
    ...{ name: 'fitter', service: 'zvolen/service/fitter.ini', serviceName: 'fitter' },
    ...{ host: 'fitter.zvolen.example', role: 'fitter', workers: 6, slots: 3, meanWork: 60 },
    domains: ['sk/zv1', 'sk/zv2', 'sk/zv3'],
    kinds: [
      { name: 'ramp', share: 0.3, method: 'GET', path: '/ramp/stock', work: 1 },
      { name: 'plan', share: 0.7, method: 'POST', path: '/plans', work: 2, bytes: 200_000 },
    ],
  },
];

/** A change of a target's fault at a time. */
export interface FaultStep {
  /** Milliseconds from the start of the run. */
  readonly at: number;
  readonly target: number;
  readonly fault: TargetFault;
}

/** What goes wrong. */
export const SCENARIOS = [
  ...(['noise', 'slow-one', 'fail-fast', 'drain-half', 'hang-two'] as const),
] as const;

/** One of {@link SCENARIOS}. */
export type Scenario = (typeof SCENARIOS)[number];

const HEALTHY: TargetFault = { kind: 'none' };
const NOISE_GAP = 2000;
const NOISE_SPAN = 50;
const SLOW_SPAN = 200;
const SLOW_GAP = 1000;

/** Neighbours that make a target two to five times slower for around 50 ms, at random. */
function scriptNoise(workers: number, seconds: number, seed: number): readonly FaultStep[] {
  const random = createSeededRandom(seed);
  const steps: FaultStep[] = [];
  for (let target = 0; target < workers; target += 1) {
    let at = 0;
    for (;;) {
      at += -Math.log(1 - random.next()) * NOISE_GAP;
      if (at > seconds * 1000) break;
      const factor = 2 + random.next() * 3;
      steps.push({ at, target, fault: { kind: 'slow', factor } });
      at += NOISE_SPAN * (0.5 + random.next());
      steps.push({ at, target, fault: HEALTHY });
    }
  }
  return steps;
}

function scriptSlowOne(seconds: number): readonly FaultStep[] {
  const steps: FaultStep[] = [];
  for (let at = SLOW_GAP; at < seconds * 1000; at += SLOW_GAP) {
    const target = (at / SLOW_GAP) % 7;
    steps.push({ at, target, fault: { kind: 'slow', factor: 10 } });
    steps.push({ at: at + SLOW_SPAN, target, fault: HEALTHY });
  }
  return steps;
}

/** Writes the script of a scenario, in order of time. */
export function writeScript(
  scenario: Scenario,
  {
    workers,
    seconds,
    seed,
  }: { readonly workers: number; readonly seconds: number; readonly seed: number },
): readonly FaultStep[] {
  const noise = scriptNoise(workers, seconds, seed);
  const third = (seconds * 1000) / 3;
  switch (scenario) {
    case 'noise':
      return noise.toSorted((a, b) => a.at - b.at);
    case 'slow-one':
      return scriptSlowOne(seconds).toSorted((a, b) => a.at - b.at);
    case 'fail-fast':
      return [{ at: third, target: 0, fault: { kind: 'fail-fast' } }];
    case 'hang-two':
      return [0, 1].map((target) => ({ at: third, target, fault: { kind: 'hang' } }));
    case 'drain-half':
      return Array.from({ length: Math.floor(workers / 2) }, (_, target) => ({
        at: third,
        target,
        fault: { kind: 'draining', refuses: true },
      }));
    default:
      return scenario satisfies never;
  }
}
