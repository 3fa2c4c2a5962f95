/** TLS for callers, replacement of keys without a restart, and TLS between entries. */
import { mkdtempSync, writeFileSync } from 'node:fs';
import https from 'node:https';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TLSSocket } from 'node:tls';
import { expect } from 'chai';
import { generate } from 'selfsigned';
import type { Address, KeyPair } from '../src/kernel/index.js';
import { type PeerHandlers, type PeerKeyFiles, createGrpcTransport } from '../src/peer/index.js';
import { Fleet, putDocuments, send, writeService } from './helpers/fleet.js';

async function createKeys(name: string): Promise<KeyPair> {
  const pair = await generate([{ name: 'commonName', value: name }]);
  return { cert: pair.cert, key: pair.private };
}

interface SecureReply {
  readonly status: number;
  readonly subject: string;
}

function sendSecurely(to: Address): Promise<SecureReply> {
  return new Promise((resolve, reject) => {
    const request = https.get(
      {
        ...{ host: to.host, port: to.port, agent: false, rejectUnauthorized: false },
        headers: { host: 'test.example' },
      },
      (response) => {
        const { subject } = (response.socket as TLSSocket).getPeerCertificate();
        response.resume();
        resolve({ status: response.statusCode ?? 0, subject: String(subject.CN) });
      },
    );
    request.on('error', reject);
  });
}

describe('TLS for callers', () => {
  it('uses its keys, replaces them while running, and rejects plain HTTP', async () => {
    const fleet = new Fleet({ entry: { callersKeys: await createKeys('first') } });
    const target = await fleet.startTarget();
    putDocuments(fleet.store, { 'service/test': writeService([target.address]) });
    const entry = await fleet.start();
    expect(await sendSecurely(entry.callersAddress)).to.deep.equal({
      status: 200,
      subject: 'first',
    });
    entry.replaceCallersKeys(await createKeys('second'));
    expect(await sendSecurely(entry.callersAddress)).to.deep.equal({
      status: 200,
      subject: 'second',
    });
    let refused = false;
    await send(entry.callersAddress).catch(() => {
      refused = true;
    });
    expect(refused).to.equal(true);
    fleet.close();
  });
});

describe('TLS between entries', () => {
  const SECRET = 'a-secret-of-the-tests';
  const PEER_HANDLERS: PeerHandlers = {
    exchange: () => Promise.reject(new Error('not used')),
    probe: async () => true,
    fetchConfig: async () => ({ manifest: '', texts: [], proofAge: 0 }),
    fetchVms: async () => ({ reader: 'r', count: 1, isWhole: true, vms: [], removed: [] }),
  };

  async function writeFiles(name: string): Promise<PeerKeyFiles> {
    const directory = mkdtempSync(join(tmpdir(), 'orchidbeam-tls-'));
    const { cert, key } = await createKeys(name);
    writeFileSync(join(directory, 'cert.pem'), cert);
    writeFileSync(join(directory, 'key.pem'), key);
    const file = join(directory, 'cert.pem');
    return { cert: file, ca: file, key: join(directory, 'key.pem'), refreshIntervalMs: 100 };
  }

  it('accepts only peers with a certificate of the same authority and the right secret', async () => {
    const files = await writeFiles('entry');
    const server = createGrpcTransport(SECRET, files);
    const { address, close } = await server.serve({ host: '127.0.0.1', port: 0 }, PEER_HANDLERS);
    const CASES = [
      { who: 'a peer', transport: createGrpcTransport(SECRET, files), reached: true },
      {
        who: 'a wrong secret',
        transport: createGrpcTransport('another-secret-here', files),
        reached: false,
      },
      {
        who: 'another authority',
        transport: createGrpcTransport(SECRET, await writeFiles('x')),
        reached: false,
      },
      { who: 'no TLS', transport: createGrpcTransport(SECRET), reached: false },
    ];
    for (const { who, transport, reached } of CASES) {
      const result = await transport.connect(address).fetchVms({ reader: '', count: 0 }, 1500);
      expect(result.isRight(), who).to.equal(reached);
      transport.close();
    }
    close();
    server.close();
  }).timeout(20_000);
});
