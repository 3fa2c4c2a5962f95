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

function applyPolicy(ruling: PolicyOutcome, policy: Policy, view: PolicyView): PolicyOutcome {
  const addStep = (outcome: string) => [...ruling.steps, { policy: policy.name, outcome }];
  const result = policy.evaluate(view);
  if (result.isLeft()) {
    const failures = [...ruling.failures, policy.name];
    return { ...ruling, failures, steps: addStep(`failed: ${result.extract()}`) };
  }
  const decision = result.unsafeCoerce();
  switch (decision.kind) {
    case 'pass':
      return { ...ruling, steps: addStep('pass') };
    case 'refuse':
      return { ...ruling, refusal: decision.reason, steps: addStep(`refuse: ${decision.reason}`) };
    case 'classify':
      return { ...ruling, class: decision.name, steps: addStep(`classify: ${decision.name}`) };
    case 'hold': {
      const share = Math.min(1, Math.max(0, decision.share));
      const hold = { policy: policy.name, share };
      return { ...ruling, hold, steps: addStep(`hold: ${share}`) };
    }
    case 'spread':
      return { ...ruling, pool: decision.pool, steps: addStep(`spread: ${decision.pool}`) };
    default:
      return decision satisfies never;
  }
}

/** Applies policies in order. A refusal ends it; of other decisions the last of a kind stands. */
export function applyPolicies(policies: readonly Policy[], view: PolicyView): PolicyOutcome {
  let ruling = PASS_OUTCOME;
  for (const policy of policies) {
    ruling = applyPolicy(ruling, policy, view);
    if (ruling.refusal !== undefined) return ruling;
  }
  return ruling;
}
