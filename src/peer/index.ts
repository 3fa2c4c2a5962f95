/** How entries talk to each other: messages, the gRPC transport, a transport for tests. */
export * from './messages.js';
export * from './transport.js';
export * from './grpc.js';
