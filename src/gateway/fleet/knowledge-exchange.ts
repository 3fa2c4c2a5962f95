/**
 * Gossip between daemons: what this daemon answers when another one asks for its state, and how it
 * applies the state of others.
 */
import type { Clock } from '../../kernel/index.js';
import type {
  PoisonReport,
  FeedClient,
  Knowledge,
  MemberInfo,
  StoreRead,
  ReaderRole,
  Roster,
} from '../../peering/index.js';
import type { FleetView, StoreReader } from '../../view/index.js';

/** Options of the exchange. */
export interface KnowledgeExchangeOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly view: FleetView;
  readonly roster: Roster;
  readonly reader: Pick<StoreReader, 'lastReadAt'>;
  readonly readerRole: ReaderRole;
  readonly feed: FeedClient;
  /** Lists the suspected poison requests to announce to other daemons. */
  readonly listPoisonReports: () => readonly PoisonReport[];
}

/** The exchange of one daemon. */
export class KnowledgeExchange {
  constructor(private readonly options: KnowledgeExchangeOptions) {}

  /** Returns what this daemon knows now. */
  read(): Knowledge {
    const { clock, view, roster, listPoisonReports } = this.options;
    return {
      position: view.position,
      proofAge: clock.now() - view.provenAt,
      lastRead: this.#findLastRead(),
      known: view.known,
      membersFingerprint: roster.readFingerprint(),
      desiredHomes: roster.desiredHomes,
      presences: roster.listPresences(),
      poisonReports: listPoisonReports(),
    };
  }

  /** Applies what another daemon knows, and fetches from it whatever is newer there. */
  async receive(from: MemberInfo, knowledge: Knowledge): Promise<void> {
    const { clock, self, view, roster, readerRole, feed } = this.options;
    readerRole.recordAnswer();
    if (this.#isPlanSource(from.ip)) roster.setDesiredHomes(knowledge.desiredHomes);
    const now = clock.now();
    const provenAt = now - knowledge.proofAge;
    const { lastRead } = knowledge;
    const { position } = view;
    const members = roster.readFingerprint();
    const isBehind =
      knowledge.position.targets > position.targets ||
      knowledge.position.configuration > position.configuration ||
      knowledge.position.evacuations > position.evacuations;
    if (isBehind && !(await feed.fetchChanges(from.ip, { position, members }))) return;
    if (!isBehind && knowledge.membersFingerprint !== members) {
      await feed.fetchMembers(from.ip, { position, members });
    }
    if (view.table !== undefined) {
      view.recordProof(provenAt);
      view.advanceKnown(knowledge.known);
    }
    // This daemon's own read of the store, reported back to it, proves nothing.
    if (lastRead === undefined || lastRead.reader === self) return;
    readerRole.recordRemoteRead(lastRead.reader, now - lastRead.age);
  }

  /** Returns the latest read of the store, by this daemon or another one. */
  #findLastRead(): StoreRead | undefined {
    const { clock, self, reader, readerRole } = this.options;
    const { lastRemoteRead } = readerRole;
    const now = clock.now();
    const { lastReadAt } = reader;
    if (lastRemoteRead !== undefined && lastRemoteRead.at > lastReadAt)
      return { reader: lastRemoteRead.reader, age: now - lastRemoteRead.at };
    return lastReadAt === -Infinity ? undefined : { reader: self, age: now - lastReadAt };
  }

  /**
   * Whether the number of homes is taken from the daemon with this IP address. Homes and their
   * successors take it from the first home, other daemons from any home.
   */
  #isPlanSource(ip: string): boolean {
    const { roster } = this.options;
    const homes = roster.listHomes();
    if (roster.isNearHomes()) return homes[0]?.ip === ip;
    return homes.some((home) => home.ip === ip);
  }
}
