/** TLS for callers, and keys that are replaced without a restart. */
import https from 'node:https';
import type { TLSSocket } from 'node:tls';
import { expect } from 'chai';
import { generate } from 'selfsigned';
import type { Address, KeyPair } from '../src/kernel/index.js';
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
  it('serves with its keys, takes new ones while running, and turns away plain HTTP', async () => {
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
