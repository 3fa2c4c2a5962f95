/** The messages between entries, as immutable values. The wire format is `proto/peer.proto`. */

/** States of a member, from best to worst; the index of a state is its value on the wire. */
export const MEMBER_STATES = ['live', 'stopping', 'suspect', 'gone'] as const;

/** One of {@link MEMBER_STATES}. */
export type MemberState = (typeof MEMBER_STATES)[number];

/** An entry as known to another one. */
export interface Member {
  /** Random at each start, so that a restart under the same address is a new member. */
  readonly id: string;
  readonly name: string;
  readonly domain: string;
  readonly callers: string;
  readonly peers: string;
  readonly relay: string;
  readonly admin: string;
  /** Increased only by the member itself, to refute a suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A notice that a target is leaving; `age` in milliseconds. */
export interface Notice {
  readonly target: string;
  readonly age: number;
}

/** The load of a service at one of its homes. */
export interface LoadMessage {
  readonly service: string;
  /** Identifier of the home. */
  readonly entry: string;
  /** Calls per second. */
  readonly rate: number;
  /** Milliseconds since the rate was measured. */
  readonly age: number;
}

/** The versions of the configuration and of the list of VMs that a daemon has. */
export interface Knowledge {
  readonly revision: number;
  /** Milliseconds since any daemon read this revision from the platform as the newest. */
  readonly proofAge: number;
  /** Identifier of the entry that read the list of VMs. */
  readonly vmsReader: string;
  /** Number of changes of the list since that entry started. */
  readonly vmsCount: number;
}

/** The content of an exchange, which is the same in request and reply. */
export interface ExchangeMessage {
  readonly from: Member;
  readonly members: readonly Member[];
  readonly notices: readonly Notice[];
  readonly loads: readonly LoadMessage[];
  readonly knowledge: Knowledge;
}

/** The request of an exchange; `wantAll` asks for all members. */
export interface ExchangeRequest extends ExchangeMessage {
  readonly wantAll: boolean;
}

/** A document's text with its hash. */
export interface TextMessage {
  readonly hash: string;
  readonly text: string;
}

/** The manifest in the platform's format, with the texts that the requester lacks. */
export interface ConfigReply {
  readonly manifest: string;
  readonly texts: readonly TextMessage[];
  readonly proofAge: number;
}

/** A VM of the platform's list. */
export interface VmMessage {
  readonly address: string;
  readonly role: string;
  readonly domain: string;
  readonly leaving: boolean;
}

/** The version of the list of VMs that the requester has. */
export interface VmsRequest {
  readonly reader: string;
  readonly count: number;
}

/** The list of VMs, or its changes, with the version. */
export interface VmsReply {
  readonly reader: string;
  readonly count: number;
  /** Whether `vms` is the whole list, not only the changes since the requester's list. */
  readonly isWhole: boolean;
  readonly vms: readonly VmMessage[];
  /** Addresses that are no longer on the list. */
  readonly removed: readonly string[];
}
