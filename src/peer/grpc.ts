/** The gRPC transport between entries. */
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
  type ChannelCredentials,
  credentials,
  experimental,
  type sendUnaryData,
  status,
} from '@grpc/grpc-js';
import { Left, Right } from 'purify-ts';
import { type Address, formatAddress, matchesSecret } from '../kernel/index.js';
import {
  type Codec,
  type PeerMethod,
  fetchConfigMethod,
  exchangeMethod,
  probeMethod,
  fetchVmsMethod,
} from './codec.js';
import {
  type PeerClient,
  type PeerHandlers,
  type PeerResult,
  type PeerTransport,
  createPeerFailure,
} from './transport.js';

const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': 16_000_000,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 2000,
  'grpc.enable_http_proxy': 0,
};

const SECRET_METADATA_KEY = 'orchidbeam-secret';

function defineMethod<Q, A>(method: PeerMethod<Q, A>, counter: TrafficCounter) {
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

function definePeerService(counter: TrafficCounter) {
  return {
    exchange: defineMethod(exchangeMethod, counter),
    probe: defineMethod(probeMethod, counter),
    fetchConfig: defineMethod(fetchConfigMethod, counter),
    fetchVms: defineMethod(fetchVmsMethod, counter),
  };
}

interface TrafficCounter {
  messages: number;
  bytesOut: number;
  bytesIn: number;
}

/** Wraps a codec to count the messages and bytes that it writes and the bytes that it reads. */
function countCodec<T>(codec: Codec<T>, counter: TrafficCounter): Codec<T> {
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

/** Wraps an async handler for unary calls; rejects peers that do not send the shared secret. */
function createUnaryHandler<Q, A>(secret: string, handle: (request: Q) => Promise<A>) {
  return (call: ServerUnaryCall<Q, A>, done: sendUnaryData<A>) => {
    const [given = ''] = call.metadata.get(SECRET_METADATA_KEY);
    if (!matchesSecret(String(given), secret)) {
      done({ code: status.UNAUTHENTICATED, details: 'wrong peer_secret' });
      return;
    }
    handle(call.request).then(
      (reply) => done(null, reply),
      (error: Error) => done({ code: status.INTERNAL, details: error.message }),
    );
  };
}

/** PEM files with which entries authenticate to each other; they are reloaded when they change. */
export interface PeerKeyFiles {
  readonly cert: string;
  readonly key: string;
  /** Certificates of the authority that signs the certificates of the entries. */
  readonly ca: string;
  /** Time between two checks of the files for changes. */
  readonly refreshIntervalMs: number;
}

interface Credentials {
  readonly server: ServerCredentials;
  readonly client: ChannelCredentials;
}

function createCredentials(files: PeerKeyFiles | undefined): Credentials {
  if (files === undefined) {
    return { server: ServerCredentials.createInsecure(), client: credentials.createInsecure() };
  }
  const provider = new experimental.FileWatcherCertificateProvider({
    certificateFile: files.cert,
    privateKeyFile: files.key,
    caCertificateFile: files.ca,
    refreshIntervalMs: files.refreshIntervalMs,
  });
  return {
    server: experimental.createCertificateProviderServerCredentials(provider, provider, true),
    client: experimental.createCertificateProviderChannelCredentials(provider, provider, {
      // Entries are addressed by IP; any holder of a certificate of the authority is an entry.
      checkServerIdentity: () => undefined,
    }),
  };
}

/**
 * Creates the gRPC transport. Peers authenticate with the shared secret, and with certificates of
 * one authority, too, when `files` is given.
 */
export function createGrpcTransport(secret: string, files?: PeerKeyFiles): PeerTransport {
  const { server: serverCredentials, client: clientCredentials } = createCredentials(files);
  const clients = new Map<string, Client>();
  const counter: TrafficCounter = { messages: 0, bytesOut: 0, bytesIn: 0 };
  const metadata = new Metadata();
  metadata.set(SECRET_METADATA_KEY, secret);

  function findClient(address: Address): Client {
    const name = formatAddress(address);
    const known = clients.get(name);
    if (known !== undefined) return known;
    const client = new Client(name, clientCredentials, CHANNEL_OPTIONS);
    clients.set(name, client);
    return client;
  }

  function callPeer<Q, A>(
    address: Address,
    method: PeerMethod<Q, A>,
    { request, timeoutMs }: { readonly request: Q; readonly timeoutMs: number },
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
        { deadline: Date.now() + timeoutMs },
        finish,
      );
      call.on('error', () => undefined);
    });
  }

  return {
    readTraffic: () => ({ ...counter }),
    async serve(address, handlers: PeerHandlers) {
      const server = new Server(CHANNEL_OPTIONS);
      const implementation: UntypedServiceImplementation = {
        exchange: createUnaryHandler(secret, handlers.exchange),
        probe: createUnaryHandler(secret, handlers.probe),
        fetchConfig: createUnaryHandler(secret, handlers.fetchConfig),
        fetchVms: createUnaryHandler(secret, handlers.fetchVms),
      };
      server.addService(definePeerService(counter), implementation);
      const port = await new Promise<number>((resolve, reject) => {
        server.bindAsync(formatAddress(address), serverCredentials, (error, bound) =>
          error === null ? resolve(bound) : reject(error),
        );
      });
      return { address: { host: address.host, port }, close: () => server.forceShutdown() };
    },
    connect: (address): PeerClient => ({
      exchange: (request, timeoutMs) => callPeer(address, exchangeMethod, { request, timeoutMs }),
      probe: (peers, timeoutMs) => callPeer(address, probeMethod, { request: peers, timeoutMs }),
      fetchConfig: (known, timeoutMs) =>
        callPeer(address, fetchConfigMethod, { request: known, timeoutMs }),
      fetchVms: (known, timeoutMs) =>
        callPeer(address, fetchVmsMethod, { request: known, timeoutMs }),
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
