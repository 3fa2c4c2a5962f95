/** Communication between entries: messages, the gRPC transport and an in-memory one for tests. */
export * from './messages.js';
export * from './transport.js';
export * from './grpc.js';
