/** Applies a service's policies to one call and combines their decisions. */
import type { Policy, PolicyView } from './policy.js';

/** A limit that a policy sets: such calls use at most `share` of the slots, from 0 to 1. */
export interface Hold {
  readonly policy: string;
  readonly share: number;
}

/** The decision or failure of one policy, as text for explanations. */
export interface PolicyStep {
  readonly policy: string;
  readonly outcome: string;
}

/** The combined effect of all policies on one call. */
export interface PolicyOutcome {
  /** Why the call is refused; undefined when it may run. */
  readonly refusal: string | undefined;
  /** The class of work; undefined keeps the requested one. */
  readonly class: string | undefined;
  /** The pool to use; undefined means the main pool. */
  readonly pool: string | undefined;
  readonly hold: Hold | undefined;
  /** Names of policies that failed at run time; a failed policy has no effect on the call. */
  readonly failures: readonly string[];
  readonly steps: readonly PolicyStep[];
}

/** The outcome without any effect on the call. */
export const PASS_OUTCOME: PolicyOutcome = {
  refusal: undefined,
  class: undefined,
  pool: undefined,
  hold: undefined,
  failures: [],
  steps: [],
};

function applyPolicy(outcome: PolicyOutcome, policy: Policy, view: PolicyView): PolicyOutcome {
  const addStep = (stepOutcome: string) => [
    ...outcome.steps,
    { policy: policy.name, outcome: stepOutcome },
  ];
  const result = policy.evaluate(view);
  if (result.isLeft()) {
    const failures = [...outcome.failures, policy.name];
    return { ...outcome, failures, steps: addStep(`failed: ${result.extract()}`) };
  }
  const decision = result.unsafeCoerce();
  switch (decision.kind) {
    case 'pass':
      return { ...outcome, steps: addStep('pass') };
    case 'refuse':
      return { ...outcome, refusal: decision.reason, steps: addStep(`refuse: ${decision.reason}`) };
    case 'classify':
      return { ...outcome, class: decision.name, steps: addStep(`classify: ${decision.name}`) };
    case 'hold': {
      const share = Math.min(1, Math.max(0, decision.share));
      const hold = { policy: policy.name, share };
      return { ...outcome, hold, steps: addStep(`hold: ${share}`) };
    }
    case 'spread':
      return { ...outcome, pool: decision.pool, steps: addStep(`spread: ${decision.pool}`) };
    default:
      return decision satisfies never;
  }
}

/** Applies policies in order up to the first refusal; of other kinds the last decision applies. */
export function applyPolicies(policies: readonly Policy[], view: PolicyView): PolicyOutcome {
  let outcome = PASS_OUTCOME;
  for (const policy of policies) {
    outcome = applyPolicy(outcome, policy, view);
    if (outcome.refusal !== undefined) return outcome;
  }
  return outcome;
}
