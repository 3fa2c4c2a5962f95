import { decode, encode } from '@msgpack/msgpack';
import { expect } from 'chai';
import { ManualClock } from '../src/kernel/index.js';
import {
  type Datagram,
  type MemberInfo,
  type MemberState,
  Roster,
  decodeDatagram,
  encodeDatagram,
} from '../src/peering/index.js';

const DAEMONS = 9;

function makeInfo(index: number): MemberInfo {
  return { ip: `10.0.0.${index}`, domain: `d${index % 3}`, capacity: 0.5, isSenior: true };
}

describe('daemons that report that they reach no target', () => {
  let roster: Roster;
  let ownState: MemberState;

  const setState = (index: number, state: MemberState) =>
    roster.recordStatus(makeInfo(index), { state, utilisation: 0, pollers: 1 });
  const listHomes = () => roster.listHomes().map(({ ip }) => ip);

  beforeEach(() => {
    ownState = 'ready';
    roster = new Roster({
      ...{ clock: new ManualClock(), self: makeInfo(0), readSelfState: () => ownState },
      ...{ minHomes: 3, minHomeCapacity: 1 },
    });
    for (let index = 1; index < DAEMONS; index += 1) setState(index, 'ready');
  });

  it('are no homes, the next ones are', () => {
    const before = listHomes();
    const [first, ...rest] = before;
    const index = Number(first.split('.').at(-1));
    if (index === 0) ownState = 'partitioned';
    else setState(index, 'partitioned');
    expect(listHomes()).to.have.lengthOf(3).and.to.include.members(rest).and.not.include(first);
  });

  it('carry no calls', () => {
    for (let index = 1; index < DAEMONS - 1; index += 1) setState(index, 'partitioned');
    expect(roster.listCarriers().map(({ ip }) => ip)).to.deep.equal(['10.0.0.8']);
    expect(roster.countPartitioned()).to.equal(DAEMONS - 2);
  });

  it('stay the homes while no daemon reaches one', () => {
    const before = listHomes();
    ownState = 'partitioned';
    for (let index = 1; index < DAEMONS; index += 1) setState(index, 'partitioned');
    expect(listHomes()).to.deep.equal(before);
    expect(roster.listCarriers()).to.deep.equal([]);
  });

  describe('in datagrams', () => {
    const self = {
      ...{ domain: 'd1', capacity: 0.5, isSenior: true, state: 'partitioned' as MemberState },
      ...{ utilisation: 0.25, pollers: 2 },
    };
    const reply: Datagram = {
      ...{ kind: 'tell', self },
      knowledge: {
        position: { targets: 1, configuration: 2, evacuations: 3 },
        ...{ proofAge: 10, lastRead: undefined, known: { targets: 4, operators: 5 } },
        ...{ membersFingerprint: 6, desiredHomes: 3, poisonReports: [] },
        presences: [
          { ip: '10.0.0.1', state: 'partitioned', age: 5 },
          { ip: '10.0.0.2', state: 'ready', age: 7 },
        ],
      },
    };
    const poll: Datagram = { kind: 'ask', self, polledCount: 3 };

    it('are told from others', () => {
      for (const datagram of [reply, poll]) {
        expect(decodeDatagram(encodeDatagram(datagram))).to.deep.equal(datagram);
      }
    });

    it('count as starting at builds that do not know that state', () => {
      const fields = decode(encodeDatagram(reply)) as readonly unknown[];
      const earlier = decodeDatagram(encode(fields.slice(0, -2)));
      if (earlier?.kind !== 'tell') expect.fail('no reply');
      expect(earlier.self.state).to.equal('starting');
      expect(earlier.knowledge.presences.map(({ state }) => state)).to.deep.equal([
        ...['starting', 'ready'],
      ]);
    });

    it('change nothing where there are none', () => {
      const ready = { ...self, state: 'ready' as MemberState };
      const fields = decode(encodeDatagram({ ...poll, self: ready })) as readonly unknown[];
      expect(fields).to.have.lengthOf(8);
    });
  });
});
