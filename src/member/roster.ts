/** The members that one entry knows: an immutable value that is updated by merging reports. */
import type { Member, MemberState } from '../peer/index.js';

/** A member and when its record last changed here. */
export interface RosterEntry {
  readonly member: Member;
  /** On the kernel's clock, in milliseconds. */
  readonly changedAt: number;
}

/** Members by identifier. */
export type Roster = ReadonlyMap<string, RosterEntry>;

const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  live: 0,
  stopping: 1,
  suspect: 2,
  gone: 3,
};

/** Whether `report` replaces the `known` state of the same member. A gone member stays gone. */
export function supersedes(report: Member, known: Member): boolean {
  if (known.state === 'gone') return false;
  if (report.state === 'gone') return true;
  if (report.incarnation !== known.incarnation) return report.incarnation > known.incarnation;
  return STATE_PRECEDENCE[report.state] > STATE_PRECEDENCE[known.state];
}

/** Merges one report; returns the same roster when it does not supersede the known state. */
export function mergeMember(roster: Roster, report: Member, now: number): Roster {
  const known = roster.get(report.id);
  if (known !== undefined && !supersedes(report, known.member)) return roster;
  // An unknown member that is gone is kept, too, so that older reports do not bring it back.
  return new Map(roster).set(report.id, { member: report, changedAt: now });
}

/** Marks other members at the address of `present` as gone: an address has only one process. */
export function replaceAtAddress(roster: Roster, present: Member, now: number): Roster {
  let next = roster;
  for (const { member } of roster.values()) {
    if (member.id === present.id || member.peers !== present.peers) continue;
    next = mergeMember(next, { ...member, state: 'gone' }, now);
  }
  return next;
}

/** Removes members that have been gone for `retention` milliseconds. */
export function forgetGone(roster: Roster, now: number, retention: number): Roster {
  const kept = [...roster].filter(
    ([, { member, changedAt }]) => member.state !== 'gone' || now - changedAt < retention,
  );
  return kept.length === roster.size ? roster : new Map(kept);
}

/** Returns the members that are in any of the given states. */
export function listMembers(roster: Roster, states: readonly MemberState[]): readonly Member[] {
  const members: Member[] = [];
  for (const { member } of roster.values()) {
    if (states.includes(member.state)) members.push(member);
  }
  return members;
}
