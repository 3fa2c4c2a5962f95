/** What operators use: the administration interface and the command line. */
import { mkdtempSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { type AdminServer, startAdminServer } from '../src/admin/index.js';
import { COMMANDS, EXIT, runCommand, writeReference } from '../src/cli/index.js';
import { hashToken } from '../src/config/index.js';
import { findExample } from '../src/demo/index.js';
import {
  Kernel,
  clockService,
  createSeededRandom,
  createSilentLog,
  createSystemClock,
  createTcpNetwork,
  formatAddress,
  logService,
  networkService,
  randomService,
} from '../src/kernel/index.js';
import { Fleet, putDocuments, writeService } from './helpers/fleet.js';

describe('administration', () => {
  const fleet = new Fleet();
  let admin: AdminServer;
  let directory: string;

  const writeDocument = (kind: string, name: string, text: string) => {
    mkdirSync(join(directory, kind), { recursive: true });
    const file = join(directory, kind, `${name}.ini`);
    writeFileSync(file, text);
    return file;
  };

  const run = (words: readonly string[], operator = 'anna', token = 'token-of-anna') => {
    process.env.ORCHIDBEAM_TOKEN = token;
    return runCommand([...words, '--admin', formatAddress(admin.address), '--operator', operator]);
  };

  const draft = async (file: string, operator?: string, token?: string) => {
    const result = await run(['config', 'draft', file, '--message', 'test'], operator, token);
    return { ...result, id: (result.json as { readonly id?: string }).id ?? '' };
  };

  before(async () => {
    directory = mkdtempSync(join(tmpdir(), 'orchidbeam-test-'));
    const anna = `[operator]\ncredential = ${await hashToken('token-of-anna')}\nrole = admin\n`;
    const bela = `[operator]\ncredential = ${await hashToken('token-of-bela')}\nrole = edit\nservices = b\n`;
    const cili = `[operator]\ncredential = ${await hashToken('token-of-cili')}\nrole = view\n`;
    putDocuments(fleet.store, {
      ...{ 'operator/anna': anna, 'operator/bela': bela, 'operator/cili': cili },
      'service/a': writeService([{ host: '127.0.0.1', port: 9 }]),
    });
    const entry = await fleet.start();
    const kernel = new Kernel()
      .provide(clockService, createSystemClock())
      .provide(randomService, createSeededRandom(5))
      .provide(networkService, createTcpNetwork())
      .provide(logService, createSilentLog());
    admin = await startAdminServer(kernel, entry);
  });

  after(() => {
    admin.close();
    fleet.close();
  });

  const text = (path: string) =>
    writeService([{ host: '127.0.0.1', port: 9 }], `path_prefix = ${path}`);

  describe('lets in', () => {
    const ROWS = [
      { who: 'nobody without a token', operator: 'anna', token: '', code: EXIT.denied },
      {
        who: 'nobody with a wrong token',
        operator: 'anna',
        token: 'token-of-bela',
        code: EXIT.denied,
      },
      { who: 'nobody unknown', operator: 'dora', token: 'x', code: EXIT.denied },
      { who: 'those who may look', operator: 'cili', token: 'token-of-cili', code: EXIT.ok },
    ];
    for (const { who, operator, token, code } of ROWS) {
      it(who, async () => {
        expect((await run(['status'], operator, token)).code).to.equal(code);
      });
    }

    it('nobody to change a service of another team', async () => {
      const file = writeDocument('service', 'a', text('/x'));
      expect((await draft(file, 'bela', 'token-of-bela')).code).to.equal(EXIT.denied);
      expect((await draft(file, 'cili', 'token-of-cili')).code).to.equal(EXIT.denied);
      const own = writeDocument('service', 'b', text('/b'));
      expect((await draft(own, 'bela', 'token-of-bela')).code).to.equal(EXIT.ok);
    });
  });

  describe('changes', () => {
    it('are drafted, shown, accepted, waited for, and recorded', async () => {
      const drafted = await draft(writeDocument('service', 'c', text('/c')));
      expect(drafted.text).to.include('+ path_prefix = /c');
      expect((await run(['config', 'diff', drafted.id])).text).to.include('--- service/c');
      const accepted = await run(['config', 'accept', drafted.id, '--wait']);
      expect(accepted.text).to.match(/in force on all 1 entries/);
      expect((await run(['config', 'show', 'service/c'])).text).to.include('/c');
      expect((await run(['config', 'history'])).text).to.include('accepted by anna');
      const lines = (await run(['audit', 'export'])).text.split('\n');
      expect(JSON.parse(lines.at(-1) ?? '')).to.include({ change: drafted.id, acceptedBy: 'anna' });
    });

    it('that collide name the other one', async () => {
      const first = await draft(writeDocument('service', 'd', text('/d1')));
      const second = await draft(writeDocument('service', 'd', text('/d2')));
      await run(['config', 'accept', first.id]);
      const result = await run(['config', 'accept', second.id]);
      expect(result.code).to.equal(EXIT.conflict);
      expect(result.text).to.include(first.id).and.include('anna');
    });

    it('that are wrong are refused with every mistake', async () => {
      const result = await draft(writeDocument('service', 'e', '[service]\nhots = x\n[pool]\n'));
      expect(result.code).to.equal(EXIT.invalid);
      expect(result.text.split('\n')).to.have.length(3);
    });

    it('can be undone and removed', async () => {
      const added = await draft(writeDocument('service', 'f', text('/f')));
      const accepted = await run(['config', 'accept', added.id]);
      const { record } = accepted.json as { readonly record: { readonly revision: number } };
      const undo = await run(['config', 'undo', String(record.revision)]);
      const { id } = undo.json as { readonly id: string };
      expect((await run(['config', 'accept', id])).code).to.equal(EXIT.ok);
      expect((await run(['config', 'show', 'service/f'])).code).to.equal(EXIT.failed);
      const removal = await run(['config', 'draft', '-service/a']);
      expect(removal.text).to.include('- hosts = test.example');
    });
  });
});

describe('command line', () => {
  const ROWS = [
    { words: ['stauts'], code: EXIT.usage, text: /expected "status"/ },
    {
      words: ['status', '--jsno'],
      code: EXIT.usage,
      text: /unknown option --jsno; expected "json"/,
    },
    { words: ['settings', 'check', 'none.ini'], code: EXIT.usage, text: /none.ini cannot be read/ },
    { words: ['config', 'accept'], code: EXIT.usage, text: /no draft was given/ },
    {
      words: ['status', '--admin', '127.0.0.1:1'],
      code: EXIT.unavailable,
      text: /does not answer/,
    },
    { words: ['settings', 'reference'], code: EXIT.ok, text: /failure_domain/ },
  ];
  for (const { words, code, text } of ROWS) {
    it(`${words.join(' ')}: ${code}`, async () => {
      const result = await runCommand(words);
      expect(result.code).to.equal(code);
      expect(result.text).to.match(text);
    });
  }

  it('has help for every command', async () => {
    for (const { name } of COMMANDS) {
      const result = await runCommand([...name.split(' '), '--help']);
      expect(result.text, name).to.include(`usage: orchidbeam ${name}`);
    }
  });

  it('tries the policies that both deployments would write', async () => {
    const result = await runCommand(['policy', 'try', findExample('zvolen/service/fitter.ini')]);
    expect(result.text).to.include('ramp-first: pass').and.include('=> runs');
    const check = await runCommand(['policy', 'check', findExample('konyvhaz/service/ledger.ini')]);
    expect(check.code).to.equal(EXIT.ok);
  });

  it('has a current reference in the pages', () => {
    const page = readFileSync(findExample('../docs/REFERENCE.md'), 'utf8');
    expect(page).to.include(writeReference());
  });
});
