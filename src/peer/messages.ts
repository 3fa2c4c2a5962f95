/** What the entries tell each other, as immutable values. The wire format is `proto/peer.proto`. */

/** How an entry stands in the fleet, from best to worst. */
export const MEMBER_STATES = ['live', 'stopping', 'suspect', 'gone'] as const;

/** One of {@link MEMBER_STATES}. */
export type MemberState = (typeof MEMBER_STATES)[number];

/** One entry as another one knows it. */
export interface Member {
  /** Drawn at each start, so that a restart under the same address is a new member. */
  readonly id: string;
  readonly name: string;
  readonly domain: string;
  readonly callers: string;
  readonly peers: string;
  readonly relay: string;
  readonly admin: string;
  /** Raised by the member itself to refute a suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A target known to be leaving; `age` in milliseconds. */
export interface Notice {
  readonly target: string;
  readonly age: number;
}

/** How busy a home of a service is. */
export interface LoadMessage {
  readonly service: string;
  /** Identifier of the home. */
  readonly entry: string;
  /** Calls a second. */
  readonly rate: number;
  /** Milliseconds since it was measured. */
  readonly age: number;
}

/** What a daemon knows of the configuration and of the list of VMs. */
export interface Knowledge {
  readonly revision: number;
  /** Milliseconds since anyone read this revision as the newest from the platform. */
  readonly proofAge: number;
  /** Identifier of the entry that reads the list of VMs. */
  readonly vmsReader: string;
  /** Changes of the list since that entry started. */
  readonly vmsCount: number;
}

/** One half of an exchange. */
export interface ExchangeMessage {
  readonly from: Member;
  readonly members: readonly Member[];
  readonly notices: readonly Notice[];
  readonly loads: readonly LoadMessage[];
  readonly knowledge: Knowledge;
}

/** The asking half. */
export interface ExchangeRequest extends ExchangeMessage {
  readonly wantAll: boolean;
}

/** A document's text with its hash. */
export interface TextMessage {
  readonly hash: string;
  readonly text: string;
}

/** The manifest as it stands in the platform's service, with the texts that the asker lacks. */
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

/** Which list of VMs the asker has already. */
export interface VmsRequest {
  readonly reader: string;
  readonly count: number;
}

/** The list of VMs as its reader read it. */
export interface VmsReply {
  readonly reader: string;
  readonly count: number;
  /** Whether `vms` is the whole list, or what changed since the one that the asker has. */
  readonly isWhole: boolean;
  readonly vms: readonly VmMessage[];
  /** Addresses that are on the list no more. */
  readonly removed: readonly string[];
}
