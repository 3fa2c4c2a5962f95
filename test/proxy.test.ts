/** What a caller receives for each way in which a target can behave or fail. */
import { expect } from 'chai';
import type { Entry } from '../src/entry/index.js';
import { InvariantError } from '../src/kernel/index.js';
import { SendLedger } from '../src/proxy/index.js';
import type { TargetFault, TargetServer } from '../src/standin/index.js';
import { Fleet, type RequestOptions, putDocuments, send, writeService } from './helpers/fleet.js';

const POST: RequestOptions = {
  method: 'POST',
  path: '/postings',
  body: 'x',
  headers: { 'x-token': 't' },
};
const GET: RequestOptions = { headers: { 'x-token': 't' } };

interface Expected {
  readonly outcome: string | undefined;
  readonly reason?: string;
  readonly status?: number;
  readonly whole?: boolean;
}

interface FaultCase {
  readonly fault: TargetFault;
  readonly what: string;
  readonly sending: RequestOptions;
  readonly expected: Expected;
}

const FAULT_CASES: readonly FaultCase[] = [
  {
    what: 'a healthy target, GET',
    fault: { kind: 'none' },
    sending: GET,
    expected: { outcome: undefined, status: 200, whole: true },
  },
  {
    what: 'a healthy target, POST',
    fault: { kind: 'none' },
    sending: POST,
    expected: { outcome: undefined, status: 201, whole: true },
  },
  {
    what: 'a target that reports that it rejected the call',
    fault: { kind: 'shed' },
    sending: POST,
    expected: { outcome: 'not-run', reason: 'target-shed' },
  },
  {
    what: 'a draining target that rejects calls',
    fault: { kind: 'draining', refuses: true },
    sending: POST,
    expected: { outcome: 'not-run' },
  },
  {
    what: 'a connection reset after a POST ran',
    fault: { kind: 'reset' },
    sending: POST,
    expected: { outcome: 'unknown', reason: 'connection-lost' },
  },
  {
    what: 'a connection reset after a GET ran',
    fault: { kind: 'reset' },
    sending: GET,
    expected: { outcome: 'unknown', reason: 'connection-lost' },
  },
  {
    what: 'a target that hangs past the deadline',
    fault: { kind: 'hang' },
    sending: { ...POST, headers: { 'orchidbeam-deadline': '80' } },
    expected: { outcome: 'unknown', reason: 'deadline' },
  },
  {
    what: 'an error response of the target',
    fault: { kind: 'fail-fast' },
    sending: POST,
    expected: { outcome: undefined, status: 500, whole: true },
  },
  {
    what: 'an answer that belongs to another call',
    fault: { kind: 'wrong-answer' },
    sending: POST,
    expected: { outcome: 'unknown', reason: 'wrong-answer' },
  },
  {
    what: 'an answer shorter than its Content-Length',
    fault: { kind: 'cut', framing: 'length' },
    sending: POST,
    expected: { outcome: undefined, whole: false },
  },
  {
    what: 'a chunked answer without its last chunk',
    fault: { kind: 'cut', framing: 'chunked' },
    sending: POST,
    expected: { outcome: undefined, whole: false },
  },
  {
    what: 'an answer delimited only by the end of its connection',
    fault: { kind: 'cut', framing: 'close' },
    sending: POST,
    expected: { outcome: 'unknown', reason: 'undelimited-answer' },
  },
];

describe('the send ledger of a call', () => {
  it('throws an InvariantError when a call that may not be repeated is sent twice', () => {
    const ledger = new SendLedger(false);
    ledger.recordSent();
    expect(() => ledger.recordSent()).to.throw(InvariantError);
  });

  it('allows another attempt once the earlier one is known not to have run', () => {
    const ledger = new SendLedger(false);
    ledger.recordSent();
    ledger.recordNotRun();
    ledger.recordSent();
    expect(ledger.mayHaveRun).to.equal(true);
  });

  it('throws an InvariantError when a call that may have run would be reported as not run', () => {
    const ledger = new SendLedger(true);
    ledger.recordSent();
    expect(() => ledger.assertNotRun()).to.throw(InvariantError);
  });
});

describe('proxy', () => {
  let fleet: Fleet;
  let entry: Entry;
  let target: TargetServer;

  beforeEach(async () => {
    fleet = new Fleet();
    target = await fleet.startTarget();
    putDocuments(fleet.store, { 'service/test': writeService([target.address]) });
    entry = await fleet.start();
  });

  afterEach(() => fleet.close());

  describe('the outcome that the caller receives', () => {
    for (const { what, fault, sending, expected } of FAULT_CASES) {
      it(`${what}: ${expected.outcome ?? (expected.whole === false ? 'cut' : 'whole')}`, async () => {
        target.setFault(fault);
        const reply = await send(entry.callersAddress, sending);
        expect(reply.headers['orchidbeam-outcome']).to.equal(expected.outcome);
        if (expected.status !== undefined) expect(reply.status).to.equal(expected.status);
        if (expected.whole !== undefined) expect(reply.whole).to.equal(expected.whole);
        if (expected.reason === undefined) return;
        expect(JSON.parse(reply.text)).to.include({
          reason: expected.reason,
          outcome: expected.outcome,
        });
        expect(reply.headers['content-type']).to.equal('application/problem+json');
      });
    }

    it('a call for an unknown host: not run', async () => {
      const reply = await send(entry.callersAddress, { headers: { host: 'other.example' } });
      expect(reply.status).to.equal(404);
      expect(reply.headers['orchidbeam-outcome']).to.equal('not-run');
    });
  });

  describe('service discovery', () => {
    it('returns a home and a time to live', async () => {
      const path = '/.well-known/orchidbeam/entries?service=test';
      const reply = await send(entry.callersAddress, { path });
      const answer = JSON.parse(reply.text) as { ttl: number; entries: { address: string }[] };
      expect(answer.ttl).to.equal(5000);
      expect(answer.entries).to.have.length(1);
    });

    it('answers 404 for an unknown service', async () => {
      const path = '/.well-known/orchidbeam/entries?service=none';
      expect((await send(entry.callersAddress, { path })).status).to.equal(404);
    });
  });
});
