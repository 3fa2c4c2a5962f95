/** Membership: joins, crashes, false suspicions, pauses, partitions, and the cost per member. */
import { expect } from 'chai';
import { ManualClock, createSeededRandom, createSilentLog } from '../src/kernel/index.js';
import {
  DEFAULT_MEMBERSHIP_TIMES,
  Membership,
  mergeMember,
  supersedes,
} from '../src/member/index.js';
import { type Knowledge, type Member, MemoryTransports } from '../src/peer/index.js';

const NO_KNOWLEDGE: Knowledge = { revision: 0, proofAge: Infinity, vmsReader: '', vmsCount: 0 };

interface Node {
  readonly name: string;
  readonly peers: string;
  readonly membership: Membership;
  readonly stop: AbortController;
  readonly notices: string[];
}

/** Memberships that share a manual clock and an in-memory transport. */
class TestFleet {
  readonly clock = new ManualClock();

  readonly transports = new MemoryTransports();

  readonly nodes: Node[] = [];

  /** Addresses of nodes whose links are cut, as if the nodes were paused. */
  readonly paused = new Set<string>();

  cut: (from: string, to: string) => boolean = () => false;

  constructor() {
    this.transports.isLinkCut = (from, to) =>
      this.paused.has(from) || this.paused.has(to) || this.cut(from, to);
  }

  async add(name: string, peers = `10.0.0.${this.nodes.length + 1}:1`): Promise<Node> {
    const transport = this.transports.create(peers);
    const notices: string[] = [];
    const seeds = this.nodes.slice(0, 1).map((node) => node.peers);
    const membership = new Membership({
      ...{ transport, clock: this.clock, random: createSeededRandom(this.nodes.length + 1) },
      ...{
        log: createSilentLog(),
        times: DEFAULT_MEMBERSHIP_TIMES,
        readKnowledge: () => NO_KNOWLEDGE,
      },
      self: { name, domain: 'hu/a', callers: peers, peers, relay: peers, admin: peers },
      onKnowledge: () => undefined,
      listLoads: () => [],
      onLoads: () => undefined,
      onChange: () => undefined,
      onTargetLeaving: (target) => notices.push(target),
      listSeeds: () => [...seeds, ...this.nodes.map((node) => node.peers)],
    });
    await transport.serve(
      { host: peers.split(':')[0] ?? '', port: 1 },
      {
        exchange: async (request) => membership.answerExchange(request),
        probe: (address) => membership.probe(address),
        fetchConfig: async () => ({ manifest: '', texts: [], proofAge: 0 }),
        fetchVms: async () => ({ reader: '', count: 0, isWhole: true, vms: [], removed: [] }),
      },
    );
    await membership.join();
    const stop = new AbortController();
    membership.run(stop.signal).catch(() => undefined);
    const node = { name, peers, membership, stop, notices };
    this.nodes.push(node);
    return node;
  }

  async run(seconds: number): Promise<void> {
    await this.clock.advance(seconds * 1000);
  }

  /** For each running node, the names that it lists as candidates. */
  listViews(): readonly string[] {
    return this.nodes
      .filter(({ peers, stop }) => !this.paused.has(peers) && !stop.signal.aborted)
      .map(({ membership }) =>
        membership
          .listCandidates()
          .map(({ name }) => name)
          .sort()
          .join(' '),
      );
  }
}

async function createTestFleet(size: number): Promise<TestFleet> {
  const group = new TestFleet();
  for (let index = 0; index < size; index += 1) await group.add(`n${index}`);
  await group.run(8);
  return group;
}

function listNames(count: number): string {
  return Array.from({ length: count }, (_, index) => `n${index}`)
    .sort()
    .join(' ');
}

function createMember(part: Partial<Member>): Member {
  return {
    ...{ id: 'a', name: 'n', domain: 'd', callers: '', peers: 'p', relay: '', admin: '' },
    ...{ incarnation: 0, state: 'live' as const, ...part },
  };
}

describe('membership', () => {
  describe('merging of reports', () => {
    const ROWS = [
      { b: { state: 'suspect' }, a: { state: 'live' }, wins: true },
      { b: { state: 'live' }, a: { state: 'suspect' }, wins: false },
      { b: { state: 'live', incarnation: 1 }, a: { state: 'suspect' }, wins: true },
      { b: { state: 'live', incarnation: 9 }, a: { state: 'gone' }, wins: false },
      { b: { state: 'gone' }, a: { state: 'live', incarnation: 9 }, wins: true },
      { b: { state: 'stopping' }, a: { state: 'live' }, wins: true },
    ] as const;
    for (const { b, a, wins } of ROWS) {
      it(`${JSON.stringify(b)} supersedes ${JSON.stringify(a)}: ${wins}`, () => {
        expect(supersedes(createMember(b), createMember(a))).to.equal(wins);
      });
    }

    it('returns the same roster for a report that it knows already', () => {
      const roster = mergeMember(new Map(), createMember({}), 0);
      expect(mergeMember(roster, createMember({}), 5)).to.equal(roster);
    });
  });

  it('makes seventeen members known to each other', async () => {
    const group = await createTestFleet(17);
    expect(new Set(group.listViews())).to.deep.equal(new Set([listNames(17)]));
  });

  it('removes a crashed member everywhere within twelve seconds', async () => {
    const group = await createTestFleet(9);
    const [, , , , , , , , last] = group.nodes;
    group.paused.add(last?.peers ?? '');
    await group.run(12);
    expect(new Set(group.listViews())).to.deep.equal(new Set([listNames(8)]));
  });

  it('readmits a member that was paused for thirty seconds', async () => {
    const group = await createTestFleet(5);
    const [, paused] = group.nodes;
    group.paused.add(paused?.peers ?? '');
    await group.run(30);
    expect(new Set(group.listViews())).to.deep.equal(new Set(['n0 n2 n3 n4']));
    group.paused.clear();
    await group.run(30);
    expect(new Set(group.listViews())).to.deep.equal(new Set([listNames(5)]));
  });

  it('keeps a member that only one other member cannot reach', async () => {
    const group = await createTestFleet(5);
    const [first, second] = group.nodes;
    group.cut = (from, to) =>
      (from === first?.peers && to === second?.peers) ||
      (from === second?.peers && to === first?.peers);
    await group.run(30);
    expect(new Set(group.listViews())).to.deep.equal(new Set([listNames(5)]));
  });

  it('works in both halves of a partition, and merges them when it heals', async () => {
    const group = await createTestFleet(6);
    const half = new Set(group.nodes.slice(0, 3).map(({ peers }) => peers));
    group.cut = (from, to) => half.has(from) !== half.has(to);
    await group.run(40);
    expect(new Set(group.listViews())).to.deep.equal(new Set(['n0 n1 n2', 'n3 n4 n5']));
    group.cut = () => false;
    await group.run(60);
    expect(new Set(group.listViews())).to.deep.equal(new Set([listNames(6)]));
  });

  it('merges the halves after a partition of one hour', async () => {
    const group = await createTestFleet(4);
    const half = new Set(group.nodes.slice(0, 2).map(({ peers }) => peers));
    group.cut = (from, to) => half.has(from) !== half.has(to);
    await group.run(3600);
    group.cut = () => false;
    await group.run(60);
    expect(new Set(group.listViews())).to.deep.equal(new Set([listNames(4)]));
  }).timeout(60_000);

  it('treats a restart under the same address as a new member', async () => {
    const group = await createTestFleet(3);
    const [, , old] = group.nodes;
    old?.stop.abort();
    await group.add('n2', old?.peers);
    await group.run(15);
    const [view] = group.nodes;
    const names = view?.membership.listCandidates().map(({ name }) => name);
    expect(names?.sort()).to.deep.equal(['n0', 'n1', 'n2']);
  });

  it('announces to all members at once that one is stopping', async () => {
    const group = await createTestFleet(9);
    const [, stopping] = group.nodes;
    await stopping?.membership.announceStopping();
    const others = group.nodes.filter((node) => node !== stopping);
    for (const { membership } of others) {
      expect(membership.listCandidates().map(({ name }) => name)).not.to.include('n1');
    }
  });

  it('announces to all members within two seconds that a target is leaving', async () => {
    const group = await createTestFleet(17);
    group.nodes[3]?.membership.announceTargetLeaving('10.1.1.1:80');
    await group.run(2);
    const told = group.nodes.filter(({ notices }) => notices.includes('10.1.1.1:80'));
    expect(told).to.have.length(16);
  });

  it('sends as many messages per member in a fleet of eight as in one of thirty-two', async () => {
    const measure = async (size: number) => {
      const group = await createTestFleet(size);
      const before = group.transports.messages;
      await group.run(30);
      return (group.transports.messages - before) / size / 30;
    };
    const [small, large] = [await measure(8), await measure(32)];
    expect(large / small).to.be.within(0.8, 1.2);
  }).timeout(60_000);
});
