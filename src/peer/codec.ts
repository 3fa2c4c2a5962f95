/** Codecs between the messages of this folder and the generated types of `proto/peer.proto`. */
import type { Reader, Writer } from 'protobufjs';
import { orchidbeam as wire } from './generated/peer.js';
import {
  type ConfigReply,
  type ExchangeMessage,
  type ExchangeRequest,
  MEMBER_STATES,
  type Member,
  type VmsReply,
  type VmsRequest,
} from './messages.js';

/** Encodes and decodes one type of message. */
export interface Codec<T> {
  readonly write: (message: T) => Buffer;
  readonly read: (bytes: Buffer) => T;
}

interface WireType {
  encode(message: object, writer?: Writer): Writer;
  decode(reader: Reader | Uint8Array, length?: number): object;
}

/** An RPC method with the codecs of its request and reply. */
export interface PeerMethod<Q, A> {
  readonly path: string;
  readonly request: Codec<Q>;
  readonly reply: Codec<A>;
}

/** Creates a codec from a generated type and the conversions to and from it. */
function createCodec<T, W extends object>(
  type: WireType,
  toWire: (message: T) => object,
  fromWire: (message: W) => T,
): Codec<T> {
  return {
    write: (message) => Buffer.from(type.encode(toWire(message)).finish()),
    read: (bytes) => fromWire(type.decode(bytes) as W),
  };
}

function writeMember(member: Member): wire.IMember {
  return { ...member, state: MEMBER_STATES.indexOf(member.state) };
}

function readMember(message: wire.IMember | null | undefined): Member {
  const { id, name, domain, callers, peers, relay, admin } = message ?? {};
  return {
    ...{ id: id ?? '', name: name ?? '', domain: domain ?? '', callers: callers ?? '' },
    ...{ peers: peers ?? '', relay: relay ?? '', admin: admin ?? '' },
    incarnation: message?.incarnation ?? 0,
    state: MEMBER_STATES[message?.state ?? 0] ?? 'gone',
  };
}

function writeExchange(message: ExchangeMessage): wire.IExchangeRequest {
  return {
    ...message,
    from: writeMember(message.from),
    members: message.members.map(writeMember),
    notices: message.notices.map((notice) => ({ ...notice, age: Math.round(notice.age) })),
    loads: message.loads.map((load) => ({
      ...{ ...load, rate: Math.round(load.rate), age: Math.round(load.age) },
    })),
    knowledge: { ...message.knowledge, proofAge: encodeAge(message.knowledge.proofAge) },
  };
}

function readExchange(message: wire.IExchangeReply): ExchangeMessage {
  const { knowledge } = message;
  return {
    from: readMember(message.from),
    members: (message.members ?? []).map(readMember),
    notices: (message.notices ?? []).map(({ target, age }) => ({
      target: target ?? '',
      age: age ?? 0,
    })),
    loads: (message.loads ?? []).map(({ service, entry, rate, age }) => ({
      ...{ service: service ?? '', entry: entry ?? '', rate: rate ?? 0, age: age ?? 0 },
    })),
    knowledge: {
      revision: knowledge?.revision ?? 0,
      proofAge: decodeAge(knowledge?.proofAge ?? 0),
      vmsReader: knowledge?.vmsReader ?? '',
      vmsCount: knowledge?.vmsCount ?? 0,
    },
  };
}

/** Stands for an infinite age in messages, whose ages are 32-bit integers. */
const NEVER_ON_WIRE = 0xffffffff;

function encodeAge(age: number): number {
  return Math.min(NEVER_ON_WIRE, Math.round(age));
}

function decodeAge(age: number): number {
  return age === NEVER_ON_WIRE ? Infinity : age;
}

/** Exchanges membership updates, notices, loads and knowledge. */
export const exchangeMethod: PeerMethod<ExchangeRequest, ExchangeMessage> = {
  path: '/orchidbeam.Peer/Exchange',
  request: createCodec<ExchangeRequest, wire.IExchangeRequest>(
    wire.ExchangeRequest,
    writeExchange,
    (message) => ({ ...readExchange(message), wantAll: message.wantAll ?? false }),
  ),
  reply: createCodec<ExchangeMessage, wire.IExchangeReply>(
    wire.ExchangeReply,
    writeExchange,
    readExchange,
  ),
};

/** Asks a peer to probe another one. */
export const probeMethod: PeerMethod<string, boolean> = {
  path: '/orchidbeam.Peer/Probe',
  request: createCodec<string, wire.IProbeRequest>(
    wire.ProbeRequest,
    (peers) => ({ peers }),
    (message) => message.peers ?? '',
  ),
  reply: createCodec<boolean, wire.IProbeReply>(
    wire.ProbeReply,
    (reached) => ({ reached }),
    (message) => message.reached ?? false,
  ),
};

/** Fetches the manifest and the texts whose hashes are not in the request. */
export const fetchConfigMethod: PeerMethod<readonly string[], ConfigReply> = {
  path: '/orchidbeam.Peer/FetchConfig',
  request: createCodec<readonly string[], wire.IConfigRequest>(
    wire.ConfigRequest,
    (known) => ({ known }),
    (message) => message.known ?? [],
  ),
  reply: createCodec<ConfigReply, wire.IConfigReply>(
    wire.ConfigReply,
    (reply) => ({ ...reply, proofAge: encodeAge(reply.proofAge) }),
    (message) => ({
      manifest: message.manifest ?? '',
      texts: (message.texts ?? []).map(({ hash, text }) => ({
        hash: hash ?? '',
        text: text ?? '',
      })),
      proofAge: decodeAge(message.proofAge ?? 0),
    }),
  ),
};

/** Fetches the list of VMs or its changes since the list that the requester has. */
export const fetchVmsMethod: PeerMethod<VmsRequest, VmsReply> = {
  path: '/orchidbeam.Peer/FetchVms',
  request: createCodec<VmsRequest, wire.IVmsRequest>(
    wire.VmsRequest,
    (request) => request,
    ({ reader, count }) => ({ reader: reader ?? '', count: count ?? 0 }),
  ),
  reply: createCodec<VmsReply, wire.IVmsReply>(
    wire.VmsReply,
    (reply) => ({ ...reply, removed: [...reply.removed] }),
    (message) => ({
      reader: message.reader ?? '',
      count: message.count ?? 0,
      isWhole: message.isWhole ?? false,
      removed: message.removed ?? [],
      vms: (message.vms ?? []).map(({ address, role, domain, leaving }) => ({
        ...{ address: address ?? '', role: role ?? '', domain: domain ?? '' },
        leaving: leaving ?? false,
      })),
    }),
  ),
};
