/** What one entry believes of the others: an immutable value, changed by merging reports. */
import type { Member, MemberState } from '../peer/index.js';

/** A member with the time of its last change of state. */
export interface RosterEntry {
  readonly member: Member;
  /** When the state was last changed here, on the kernel's clock. */
  readonly stateChangedAt: number;
}

/** Members by identifier. */
export type Roster = ReadonlyMap<string, RosterEntry>;

const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  live: 0,
  stopping: 1,
  suspect: 2,
  gone: 3,
};

/** Whether report `b` replaces belief `a` of the same member. A gone member stays gone. */
export function supersedes(report: Member, known: Member): boolean {
  if (known.state === 'gone') return false;
  if (report.state === 'gone') return true;
  if (report.incarnation !== known.incarnation) return report.incarnation > known.incarnation;
  return STATE_PRECEDENCE[report.state] > STATE_PRECEDENCE[known.state];
}

/** Merges one report; returns the same roster when it tells nothing new. */
export function mergeMember(roster: Roster, report: Member, now: number): Roster {
  const known = roster.get(report.id);
  if (known !== undefined && !supersedes(report, known.member)) return roster;
  // A member that is unknown and gone is kept too, so that older reports do not bring it back.
  return new Map(roster).set(report.id, { member: report, stateChangedAt: now });
}

/** Marks every other member at the address of `present` as gone: one process has one address. */
export function replaceAtAddress(roster: Roster, present: Member, now: number): Roster {
  let next = roster;
  for (const { member } of roster.values()) {
    if (member.id === present.id || member.peers !== present.peers) continue;
    next = mergeMember(next, { ...member, state: 'gone' }, now);
  }
  return next;
}

/** Drops members that have been gone for longer than `span`. */
export function forgetGone(roster: Roster, now: number, retention: number): Roster {
  const kept = [...roster].filter(
    ([, { member, stateChangedAt }]) => member.state !== 'gone' || now - stateChangedAt < retention,
  );
  return kept.length === roster.size ? roster : new Map(kept);
}

/** Returns the members in any of the given states. */
export function listMembers(roster: Roster, states: readonly MemberState[]): readonly Member[] {
  const members: Member[] = [];
  for (const { member } of roster.values()) {
    if (states.includes(member.state)) members.push(member);
  }
  return members;
}
