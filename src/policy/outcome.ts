/** The combined effect of a service's policies on one call. */
import type { Policy, PolicyView } from './policy.js';

/** A limit that a policy puts on its calls: at most `share` of the slots. */
export interface Hold {
  readonly policy: string;
  readonly share: number;
}

/** What was decided by which policy, for explanations. */
export interface PolicyStep {
  readonly policy: string;
  readonly outcome: string;
}

/** The effect of all policies on one call. */
export interface PolicyOutcome {
  /** Why the call is refused; undefined lets it run. */
  readonly refusal: string | undefined;
  /** The class of work; undefined keeps the one asked for. */
  readonly class: string | undefined;
  /** The pool to use; undefined is the main pool. */
  readonly pool: string | undefined;
  readonly hold: Hold | undefined;
  /** Policies that failed at run time. A failed policy passes the call. */
  readonly failures: readonly string[];
  readonly steps: readonly PolicyStep[];
}

/** A ruling under which a call runs as it is. */
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

/** Applies policies in order. A refusal ends it; of other decisions the last of a kind stands. */
export function applyPolicies(policies: readonly Policy[], view: PolicyView): PolicyOutcome {
  let outcome = PASS_OUTCOME;
  for (const policy of policies) {
    outcome = applyPolicy(outcome, policy, view);
    if (outcome.refusal !== undefined) return outcome;
  }
  return outcome;
}
