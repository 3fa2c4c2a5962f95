/** The contract of every transport between entries: messages arrive intact, failures are values. */
import { expect } from 'chai';
import {
  type ExchangeMessage,
  type Member,
  MemoryTransports,
  type PeerHandlers,
  type PeerServer,
  type PeerTransport,
  createGrpcTransport,
} from '../src/peer/index.js';

const MEMBER: Member = {
  ...{ id: 'a1', name: 'e1', domain: 'hu/a', callers: '1.1.1.1:1', peers: '1.1.1.1:2' },
  ...{ relay: '1.1.1.1:3', admin: '1.1.1.1:4', incarnation: 7, state: 'suspect' as const },
};

const MESSAGE: ExchangeMessage = {
  from: MEMBER,
  members: [MEMBER, { ...MEMBER, id: 'a2', state: 'gone' }],
  notices: [{ target: '2.2.2.2:80', age: 1500 }],
  loads: [{ service: 'ledger', entry: 'a1', rate: 1700, age: 20 }],
  knowledge: { revision: 9, proofAge: Infinity, vmsReader: 'a1', vmsCount: 3 },
};

const VM = { address: '2.2.2.2:80', role: 'ledger', domain: 'hu/a', leaving: true };

const HANDLERS: PeerHandlers = {
  exchange: async ({ wantAll: _wantAll, ...message }) => message,
  probe: async (peers) => peers === 'reachable',
  fetchConfig: async (known) => ({
    manifest: '{}',
    texts: known.map((hash) => ({ hash, text: `text of ${hash}` })),
    proofAge: 20,
  }),
  fetchVms: async ({ reader, count }) => ({
    ...{ reader, count: count + 1, isWhole: false, vms: [VM], removed: ['3.3.3.3:80'] },
  }),
};

const SECRET = 'a-secret-of-the-tests';
const memory = new MemoryTransports();

const TRANSPORTS: readonly { name: string; create: () => PeerTransport }[] = [
  { name: 'over gRPC', create: () => createGrpcTransport(SECRET) },
  { name: 'in memory', create: () => memory.create('10.0.0.1:1') },
];

const LIMIT = 2000;

for (const { name, create } of TRANSPORTS) {
  describe(`transport between entries ${name}`, () => {
    let transport: PeerTransport;
    let server: PeerServer;

    before(async () => {
      transport = create();
      server = await transport.serve({ host: '127.0.0.1', port: 0 }, HANDLERS);
    });

    after(() => {
      server.close();
      transport.close();
    });

    it('carries an exchange both ways unchanged', async () => {
      const peer = transport.connect(server.address);
      const reply = await peer.exchange({ ...MESSAGE, wantAll: true }, LIMIT);
      expect(reply.unsafeCoerce()).to.deep.equal(MESSAGE);
    });

    it('carries probes', async () => {
      const peer = transport.connect(server.address);
      expect((await peer.probe('reachable', LIMIT)).unsafeCoerce()).to.equal(true);
      expect((await peer.probe('other', LIMIT)).unsafeCoerce()).to.equal(false);
    });

    it('carries the configuration', async () => {
      const reply = await transport.connect(server.address).fetchConfig(['h1'], LIMIT);
      const texts = [{ hash: 'h1', text: 'text of h1' }];
      expect(reply.unsafeCoerce()).to.deep.equal({ manifest: '{}', texts, proofAge: 20 });
    });

    for (const known of [
      { reader: '', count: 0 },
      { reader: 'a1', count: 4 },
    ]) {
      it(`carries the list of VMs to a peer that knows ${JSON.stringify(known)}`, async () => {
        const reply = await transport.connect(server.address).fetchVms(known, LIMIT);
        const expected = {
          ...{ reader: known.reader, count: known.count + 1, isWhole: false, vms: [VM] },
          removed: ['3.3.3.3:80'],
        };
        expect(reply.unsafeCoerce()).to.deep.equal(expected);
      });
    }

    it('returns a failure when no peer listens at the address', async () => {
      const nobody = transport.connect({ host: '127.0.0.1', port: 1 });
      expect((await nobody.probe('x', 500)).isLeft()).to.equal(true);
    });
  });
}
