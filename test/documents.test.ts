/** What operators write: settings, policies, service and operator documents; and what is logged. */
import { expect } from 'chai';
import { readCredentials } from '../src/admin/index.js';
import { checkOperator, checkService, hashToken, matchToken } from '../src/config/index.js';
import { readExample } from '../src/demo/index.js';
import { formatEvent } from '../src/kernel/index.js';
import {
  POLICY_VARIABLES,
  type PolicyView,
  applyPolicies,
  compilePolicy,
} from '../src/policy/index.js';
import { type Mistake, checkEntrySettings, formatMistake } from '../src/settings/index.js';

const SETTINGS = `[entry]
name = e1
failure_domain = hu/a
callers = 127.0.0.1:1
peers = 127.0.0.1:2
relay = 127.0.0.1:3
admin = 127.0.0.1:4
[platform]
address = 127.0.0.1:5
[security]
peer_secret = sixteen-letters-x
operator_credential = none
`;

const VIEW: PolicyView = {
  call: {
    method: 'POST',
    path: '/a',
    caller: 'c',
    class: 'normal',
    repeatable: false,
    bytes: 10,
    deadline: 900,
    draw: 0.1,
    headers: {},
  },
  pool: { busy: 0.9, waiting: 3, targets: 30, ready: 29 },
};

function listMistakes(mistakes: readonly Mistake[]): string {
  return mistakes.map(formatMistake).join('\n');
}

describe('settings', () => {
  it('that are right are read with their defaults', () => {
    const settings = checkEntrySettings('f', SETTINGS).unsafeCoerce();
    expect(settings.entry.name).to.equal('e1');
    expect(settings.limits.answer_ttl).to.equal(5000);
  });

  const ROWS = [
    {
      what: 'an unknown key',
      change: (s: string) => s.replace('failure_domain', 'failure_domian'),
      expected: /f:3: unknown key "failure_domian" in \[entry\]; expected "failure_domain"/,
    },
    {
      what: 'a missing key',
      change: (s: string) => s.replace('name = e1\n', ''),
      expected: /f:1: \[entry\] lacks the key "name"/,
    },
    {
      what: 'a key twice',
      change: (s: string) => s.replace('name = e1', 'name = e1\nname = e2'),
      expected: /f:3: key "name" appears twice/,
    },
    {
      what: 'a wrong address',
      change: (s: string) => s.replace('127.0.0.1:5', 'host:5'),
      expected: /f:9: \[platform\] address = "host:5"; expected an address/,
    },
    {
      what: 'an unknown section',
      change: (s: string) => `${s}[limit]\n`,
      expected: /f:13: unknown section \[limit\]; expected "limits"/,
    },
    {
      what: 'a line that is nothing',
      change: (s: string) => `${s}what\n`,
      expected: /f:13: "what" cannot be read/,
    },
    {
      what: 'a number out of range',
      change: (s: string) => `${s}[limits]\nmax_calls = 0\n`,
      expected: /f:14: .*a whole number from 1/,
    },
    {
      what: 'a duration without a unit',
      change: (s: string) => `${s}[limits]\nanswer_ttl = 5\n`,
      expected: /f:14: .*a duration such as/,
    },
    {
      what: 'a short secret',
      change: (s: string) => s.replace('sixteen-letters-x', 'short'),
      expected: /peer_secret is too short/,
    },
    {
      what: 'half a key pair',
      change: (s: string) => `${s}admin_cert = a.pem\n`,
      expected: /only one of admin_cert and admin_key/,
    },
    {
      what: 'a section twice',
      change: (s: string) => `${s}[entry]\n`,
      expected: /section \[entry\] appears twice/,
    },
  ];
  for (const { what, change, expected } of ROWS) {
    it(`with ${what}`, () => {
      const mistakes = checkEntrySettings('f', change(SETTINGS)).swap().unsafeCoerce();
      expect(listMistakes(mistakes)).to.match(expected);
    });
  }

  it('keep a value whole that holds a comment sign', () => {
    const text = SETTINGS.replace('sixteen-letters-x', 'sixteen;letters#x');
    const settings = checkEntrySettings('f', text).unsafeCoerce();
    expect(settings.security.peer_secret).to.equal('sixteen;letters#x');
  });

  it('report all mistakes together', () => {
    const text = SETTINGS.replace('name = e1', 'nam = e1').replace('127.0.0.1:5', 'x');
    const mistakes = checkEntrySettings('f', text).swap().unsafeCoerce();
    expect(mistakes).to.have.length(3);
  });
});

describe('policies', () => {
  const ROWS = [
    { program: 'pass()', kind: 'pass' },
    { program: 'call.bytes > 5.0 ? hold(0.5) : pass()', kind: 'hold' },
    {
      program: 'pool.busy > 0.8 && call.method == "POST" ? refuse("busy") : pass()',
      kind: 'refuse',
    },
    { program: 'call.draw < 0.2 ? spread("canary") : pass()', kind: 'spread' },
    { program: 'classify("urgent")', kind: 'classify' },
  ];
  for (const { program, kind } of ROWS) {
    it(`${program}: ${kind}`, () => {
      const policy = compilePolicy('p', program).unsafeCoerce();
      expect(policy.evaluate(VIEW).unsafeCoerce().kind).to.equal(kind);
    });
  }

  const MISTAKES = [
    { program: 'call.methd == "x" ? pass() : pass()', line: 1, column: 6, what: 'methd' },
    { program: 'pass(', line: 1, column: 6, what: '' },
    { program: 'call.method', line: 1, column: 1, what: 'returns string' },
    { program: 'call.method > 3 ? pass() : pass()', line: 1, column: 1, what: 'overload' },
    { program: 'hold("all")', line: 1, column: 1, what: 'overload' },
    { program: '[1].map(x, x)', line: 1, column: 1, what: 'list' },
  ];
  for (const { program, line, column, what } of MISTAKES) {
    it(`${program}: refused at ${line}:${column}`, () => {
      const mistake = compilePolicy('p', program).swap().unsafeCoerce();
      expect(mistake).to.include({ line, column });
      expect(mistake.what).to.include(what);
    });
  }

  it('that fail at run time pass the call and are named', () => {
    const broken = compilePolicy('broken', 'call.headers["none"] == "x" ? refuse("r") : pass()');
    const ruling = applyPolicies([broken.unsafeCoerce()], VIEW);
    expect(ruling).to.deep.include({ failures: ['broken'], refusal: undefined });
  });

  it('too large to be bounded are refused', () => {
    const program = `${'true || '.repeat(600)}true ? pass() : pass()`;
    expect(compilePolicy('p', program).isLeft()).to.equal(true);
  });

  it('have every variable documented', () => {
    for (const { name, type } of POLICY_VARIABLES) {
      const sample = type === 'map<string, string>' ? `size(${name}) > 100` : `${name} == ${name}`;
      expect(compilePolicy('p', `${sample} ? pass() : pass()`).isRight(), name).to.equal(true);
    }
  });
});

describe('service documents', () => {
  for (const name of [
    'konyvhaz/service/ledger',
    'konyvhaz/service/documents',
    'zvolen/service/catalogue',
    'zvolen/service/fitter',
  ]) {
    it(`${name} is right`, () => {
      const checked = checkService(name, 'x', readExample(`${name}.ini`));
      expect(listMistakes(checked.swap().orDefault([]))).to.equal('');
    });
  }

  it('say where a policy is wrong', () => {
    const text = '[service]\n[pool]\nrole = x\n[policy a]\nprogram = call.nope\n';
    const mistakes = checkService('f', 'x', text).swap().unsafeCoerce();
    expect(listMistakes(mistakes)).to.match(/f:5: policy a, column 6 of the program/);
  });

  it('need a pool with targets', () => {
    const mistakes = checkService('f', 'x', '[service]\n[pool]\n').swap().unsafeCoerce();
    expect(listMistakes(mistakes)).to.match(/\[pool\] names no targets; expected role, targets/);
  });
});

describe('credentials', () => {
  it('match only their own token', async () => {
    const credential = await hashToken('a-long-token');
    expect(await matchToken('a-long-token', credential)).to.equal(true);
    expect(await matchToken('another-token', credential)).to.equal(false);
    expect(await matchToken('a-long-token', 'none')).to.equal(false);
  });

  it('are read from Basic authorization only', () => {
    const basic = `Basic ${Buffer.from('anna:t:1').toString('base64')}`;
    expect(readCredentials(basic)).to.deep.equal({ name: 'anna', token: 't:1' });
    expect(readCredentials('Bearer x')).to.equal(undefined);
    expect(readCredentials(undefined)).to.equal(undefined);
  });
});

describe('log lines', () => {
  it('are one line of key=value pairs, whatever the values hold', () => {
    expect(formatEvent('a.b', { x: 1, y: 'two words', z: 'a\nb=c', u: undefined })).to.equal(
      'event=a.b x=1 y="two words" z="a\\nb=c"',
    );
  });
});

describe('operator documents', () => {
  it('hold a hash, never a token', () => {
    const text = '[operator]\ncredential = my-token\nrole = admin\n';
    const mistakes = checkOperator('f', 'x', text).swap().unsafeCoerce();
    expect(listMistakes(mistakes)).to.equal(
      'f:2: credential is not a hash; expected a hash from "orchidbeam operator hash"',
    );
  });
});
