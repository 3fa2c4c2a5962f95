/**
 * Policies: short programs of operators that route, limit, classify or refuse calls.
 *
 * A policy is one CEL expression whose value is a decision. It is parsed and type-checked once,
 * when the configuration is checked. Its size is limited, and it has neither side effects nor
 * loops.
 */
import { Environment } from '@marcbachmann/cel-js';
import { Either, Left, Right } from 'purify-ts';

/** The decision of a policy about one call. */
export type Decision =
  | { readonly kind: 'pass' }
  | { readonly kind: 'refuse'; readonly reason: string }
  | { readonly kind: 'classify'; readonly name: string }
  | { readonly kind: 'hold'; readonly share: number }
  | { readonly kind: 'spread'; readonly pool: string };

/** The properties of a call that a policy can read. */
export interface CallView {
  readonly method: string;
  readonly path: string;
  readonly caller: string;
  readonly class: string;
  readonly repeatable: boolean;
  readonly bytes: number;
  readonly deadline: number;
  readonly draw: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** The state of the service's main pool that a policy can read, in the entry that has the call. */
export interface PoolView {
  readonly busy: number;
  readonly waiting: number;
  readonly targets: number;
  readonly ready: number;
}

/** The variables of a policy. */
export interface PolicyView {
  readonly call: CallView;
  readonly pool: PoolView;
}

/** A compiled policy. */
export interface Policy {
  readonly name: string;
  readonly program: string;
  /** Evaluates the program; Left is the message of a run-time error. */
  readonly evaluate: (view: PolicyView) => Either<string, Decision>;
}

/** Why a program was not accepted; line and column in the program start at 1. */
export interface PolicyMistake {
  readonly line: number;
  readonly column: number;
  readonly what: string;
  readonly expected: string;
}

/** The reference entry of a variable or decision. */
export interface PolicyDocEntry {
  readonly name: string;
  readonly type: string;
  readonly doc: string;
}

/** The variables of a program, with their types and units. */
export const POLICY_VARIABLES: readonly PolicyDocEntry[] = [
  { name: 'call.method', type: 'string', doc: 'HTTP method, such as GET' },
  { name: 'call.path', type: 'string', doc: 'Path of the call, without its query' },
  { name: 'call.caller', type: 'string', doc: 'Orchidbeam-Caller header, else the IP number' },
  { name: 'call.class', type: 'string', doc: 'Class of work asked for, else "normal"' },
  { name: 'call.repeatable', type: 'bool', doc: 'Whether the call may be repeated' },
  {
    name: 'call.bytes',
    type: 'double',
    doc: 'Declared length of the body in bytes; -1 if unknown',
  },
  { name: 'call.deadline', type: 'double', doc: 'Time left in milliseconds' },
  {
    name: 'call.draw',
    type: 'double',
    doc: 'Number in [0, 1), the same for all calls of a caller',
  },
  { name: 'call.headers', type: 'map<string, string>', doc: 'Headers, names in lower case' },
  { name: 'pool.busy', type: 'double', doc: 'Share of the slots of the main pool in use, 0 to 1' },
  { name: 'pool.waiting', type: 'double', doc: 'Calls waiting in this entry for the service' },
  { name: 'pool.targets', type: 'double', doc: 'Targets of the main pool used from this entry' },
  { name: 'pool.ready', type: 'double', doc: 'How many of these are ready' },
];

/** The decisions a program can return. */
export const POLICY_DECISIONS: readonly PolicyDocEntry[] = [
  { name: 'pass()', type: 'Decision', doc: 'Leaves the call to the next policy' },
  { name: 'refuse(reason)', type: 'Decision', doc: 'Refuses the call as not run' },
  { name: 'classify(class)', type: 'Decision', doc: 'Puts the call into a class of work' },
  {
    name: 'hold(share)',
    type: 'Decision',
    doc: 'Lets such calls use at most this share of the slots',
  },
  { name: 'spread(pool)', type: 'Decision', doc: 'Sends the call to another pool of the service' },
];

const MAX_AST_NODES = 500;
const MAX_AST_DEPTH = 40;

class DecisionValue {
  constructor(readonly decision: Decision) {}
}

function createEnvironment(): Environment {
  const bounds = { maxAstNodes: MAX_AST_NODES, maxDepth: MAX_AST_DEPTH };
  const makeDecision = (decision: Decision) => new DecisionValue(decision);
  const listFields = (prefix: string) =>
    Object.fromEntries(
      POLICY_VARIABLES.filter(({ name }) => name.startsWith(prefix)).map(({ name, type }) => [
        name.slice(prefix.length),
        type,
      ]),
    );
  return new Environment({ limits: bounds })
    .registerType('Decision', { ctor: DecisionValue, fields: {} })
    .registerVariable({ name: 'call', schema: listFields('call.') })
    .registerVariable({ name: 'pool', schema: listFields('pool.') })
    .registerFunction('pass(): Decision', () => makeDecision({ kind: 'pass' }))
    .registerFunction('refuse(string): Decision', (reason: string) =>
      makeDecision({ kind: 'refuse', reason }),
    )
    .registerFunction('classify(string): Decision', (name: string) =>
      makeDecision({ kind: 'classify', name }),
    )
    .registerFunction('hold(double): Decision', (share: number) =>
      makeDecision({ kind: 'hold', share }),
    )
    .registerFunction('spread(string): Decision', (pool: string) =>
      makeDecision({ kind: 'spread', pool }),
    );
}

const environment = createEnvironment();

function createMistake(program: string, error: unknown): PolicyMistake {
  const { message, range } = error as Error & { readonly range?: { readonly start: number } };
  const before = program.slice(0, range?.start ?? 0);
  const line = before.split('\n').length;
  const column = before.length - before.lastIndexOf('\n');
  const [what = message] = message.split('\n');
  return { line, column, what, expected: 'a CEL expression that returns a Decision' };
}

/** Parses and type-checks a program; Left says where and why it is not accepted. */
export function compilePolicy(name: string, program: string): Either<PolicyMistake, Policy> {
  const checked = environment.check(program);
  if (!checked.valid) return Left(createMistake(program, checked.error));
  if (checked.type !== 'Decision') {
    const what = `the program returns ${checked.type}`;
    return Left({ line: 1, column: 1, what, expected: 'a Decision such as pass() or refuse("…")' });
  }
  const run = environment.parse(program);
  const evaluate = (view: PolicyView): Either<string, Decision> => {
    try {
      const value = run(view) as DecisionValue;
      return Right(value.decision);
    } catch (error) {
      const [message = 'failed'] = String((error as Error).message).split('\n');
      return Left(message);
    }
  };
  return Right({ name, program, evaluate });
}
