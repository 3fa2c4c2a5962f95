/** The transport between entries over gRPC. */
import {
  type ChannelOptions,
  Client,
  type ClientUnaryCall,
  Metadata,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type ServiceError,
  type UntypedServiceImplementation,
  credentials,
  type sendUnaryData,
  status,
} from '@grpc/grpc-js';
import type { Reader, Writer } from 'protobufjs';
import { Left, Right } from 'purify-ts';
import { type Address, formatAddress, matchSecret } from '../kernel/index.js';
import { orchidbeam as wire } from './generated/peer.js';
import {
  type ConfigReply,
  type ExchangeMessage,
  type ExchangeRequest,
  MEMBER_STATES,
  type Member,
  type VmsReply,
} from './messages.js';
import {
  type PeerClient,
  type PeerHandlers,
  type PeerResult,
  type PeerTransport,
  createPeerFailure,
} from './transport.js';

interface Codec<T> {
  readonly write: (message: T) => Buffer;
  readonly read: (bytes: Buffer) => T;
}

interface WireType {
  encode(message: object, writer?: Writer): Writer;
  decode(reader: Reader | Uint8Array, length?: number): object;
}

interface Method<Q, A> {
  readonly path: string;
  readonly request: Codec<Q>;
  readonly reply: Codec<A>;
}

/** Makes a codec from a generated type and the two steps between its shape and ours. */
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
    knowledge: { ...message.knowledge, proofAge: clampAge(message.knowledge.proofAge) },
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
    knowledge: {
      revision: knowledge?.revision ?? 0,
      proofAge: readAge(knowledge?.proofAge ?? 0),
      vmsReader: knowledge?.vmsReader ?? '',
      vmsCount: knowledge?.vmsCount ?? 0,
    },
  };
}

const NEVER = 0xffffffff;

function clampAge(age: number): number {
  return Math.min(NEVER, Math.round(age));
}

function readAge(age: number): number {
  return age === NEVER ? Infinity : age;
}

const exchangeMethod: Method<ExchangeRequest, ExchangeMessage> = {
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

const probeMethod: Method<string, boolean> = {
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

const configMethod: Method<readonly string[], ConfigReply> = {
  path: '/orchidbeam.Peer/FetchConfig',
  request: createCodec<readonly string[], wire.IConfigRequest>(
    wire.ConfigRequest,
    (known) => ({ known }),
    (message) => message.known ?? [],
  ),
  reply: createCodec<ConfigReply, wire.IConfigReply>(
    wire.ConfigReply,
    (reply) => ({ ...reply, proofAge: clampAge(reply.proofAge) }),
    (message) => ({
      manifest: message.manifest ?? '',
      texts: (message.texts ?? []).map(({ hash, text }) => ({
        hash: hash ?? '',
        text: text ?? '',
      })),
      proofAge: readAge(message.proofAge ?? 0),
    }),
  ),
};

const vmsMethod: Method<undefined, VmsReply> = {
  path: '/orchidbeam.Peer/FetchVms',
  request: createCodec<undefined, wire.IVmsRequest>(
    wire.VmsRequest,
    () => ({}),
    () => undefined,
  ),
  reply: createCodec<VmsReply, wire.IVmsReply>(
    wire.VmsReply,
    (reply) => reply,
    (message) => ({
      reader: message.reader ?? '',
      count: message.count ?? 0,
      vms: (message.vms ?? []).map(({ address, role, domain, leaving }) => ({
        ...{ address: address ?? '', role: role ?? '', domain: domain ?? '' },
        leaving: leaving ?? false,
      })),
    }),
  ),
};

const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': 16_000_000,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 2000,
  'grpc.enable_http_proxy': 0,
};

const SECRET_KEY = 'orchidbeam-secret';

function defineMethod<Q, A>(method: Method<Q, A>, counter: Counter) {
  const request = countCodec(method.request, counter);
  const reply = countCodec(method.reply, counter);
  return {
    path: method.path,
    requestStream: false,
    responseStream: false,
    requestSerialize: request.write,
    requestDeserialize: request.read,
    responseSerialize: reply.write,
    responseDeserialize: reply.read,
  } as const;
}

function definePeerService(counter: Counter) {
  return {
    exchange: defineMethod(exchangeMethod, counter),
    probe: defineMethod(probeMethod, counter),
    fetchConfig: defineMethod(configMethod, counter),
    fetchVms: defineMethod(vmsMethod, counter),
  };
}

interface Counter {
  messages: number;
  bytesOut: number;
  bytesIn: number;
}

/** Counts the bytes that a codec writes and reads. */
function countCodec<T>(codec: Codec<T>, counter: Counter): Codec<T> {
  return {
    write: (message) => {
      const bytes = codec.write(message);
      counter.messages += 1;
      counter.bytesOut += bytes.length;
      return bytes;
    },
    read: (bytes) => {
      counter.bytesIn += bytes.length;
      return codec.read(bytes);
    },
  };
}

/** Answers a unary call with an async handler, for callers that know the secret. */
function createUnary<Q, A>(secret: string, handle: (request: Q) => Promise<A>) {
  return (call: ServerUnaryCall<Q, A>, done: sendUnaryData<A>) => {
    const [given = ''] = call.metadata.get(SECRET_KEY);
    if (!matchSecret(String(given), secret)) {
      done({ code: status.UNAUTHENTICATED, details: 'wrong peer_secret' });
      return;
    }
    handle(call.request).then(
      (reply) => done(null, reply),
      (error: Error) => done({ code: status.INTERNAL, details: error.message }),
    );
  };
}

/** Creates the gRPC transport; peers prove themselves with the shared secret. */
export function createGrpcTransport(secret: string): PeerTransport {
  const clients = new Map<string, Client>();
  const counter: Counter = { messages: 0, bytesOut: 0, bytesIn: 0 };
  const metadata = new Metadata();
  metadata.set(SECRET_KEY, secret);

  function findClient(address: Address): Client {
    const name = formatAddress(address);
    const known = clients.get(name);
    if (known !== undefined) return known;
    const client = new Client(name, credentials.createInsecure(), CHANNEL_OPTIONS);
    clients.set(name, client);
    return client;
  }

  function callPeer<Q, A>(
    address: Address,
    method: Method<Q, A>,
    { request, limit }: { readonly request: Q; readonly limit: number },
  ): PeerResult<A> {
    return new Promise((resolve) => {
      const finish = (error: ServiceError | null, reply?: A): void => {
        if (error !== null || reply === undefined) {
          resolve(Left(createPeerFailure(error?.details ?? 'no reply')));
        } else {
          resolve(Right(reply));
        }
      };
      const call: ClientUnaryCall = findClient(address).makeUnaryRequest(
        method.path,
        countCodec(method.request, counter).write,
        countCodec(method.reply, counter).read,
        request,
        metadata,
        { deadline: Date.now() + limit },
        finish,
      );
      call.on('error', () => undefined);
    });
  }

  return {
    traffic: () => ({ ...counter }),
    async serve(address, handlers: PeerHandlers) {
      const server = new Server(CHANNEL_OPTIONS);
      const implementation: UntypedServiceImplementation = {
        exchange: createUnary(secret, handlers.exchange),
        probe: createUnary(secret, handlers.probe),
        fetchConfig: createUnary(secret, handlers.fetchConfig),
        fetchVms: createUnary(secret, handlers.fetchVms),
      };
      server.addService(definePeerService(counter), implementation);
      const port = await new Promise<number>((resolve, reject) => {
        server.bindAsync(
          formatAddress(address),
          ServerCredentials.createInsecure(),
          (error, bound) => (error === null ? resolve(bound) : reject(error)),
        );
      });
      return { address: { host: address.host, port }, close: () => server.forceShutdown() };
    },
    connect: (address): PeerClient => ({
      exchange: (request, limit) => callPeer(address, exchangeMethod, { request, limit }),
      probe: (peers, limit) => callPeer(address, probeMethod, { request: peers, limit }),
      fetchConfig: (known, limit) => callPeer(address, configMethod, { request: known, limit }),
      fetchVms: (limit) => callPeer(address, vmsMethod, { request: undefined, limit }),
    }),
    forget(address) {
      clients.get(formatAddress(address))?.close();
      clients.delete(formatAddress(address));
    },
    close() {
      for (const client of clients.values()) client.close();
      clients.clear();
    },
  };
}
