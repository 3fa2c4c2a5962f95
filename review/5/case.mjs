/**
 * A body of more than a mebibyte in chunks, with a method whose requests usually have none. Its
 * bytes contain the text of another request, as any document may.
 */
import {
  beginRecord,
  composeRequest,
  createId,
  finish,
  hasTrouble,
  openConnection,
  putConfiguration,
  record,
  sleep,
  startGateways,
  startStore,
  startWorker,
} from '../kit-2.mjs';

const REQUESTS = 6;
const BODY_BYTES = 1_200_000;
const CHUNK_BYTES = 60_000;

beginRecord(import.meta.url);
const store = await startStore();
putConfiguration(store, [
  { name: 'orders', kind: 'unsafe', prefix: '/orders/', timeout: 3000, attempts: 1 },
  { name: 'admin', kind: 'unsafe', prefix: '/admin/', timeout: 3000, attempts: 1 },
]);

const received = new Map();

async function run(request, response, { body, headers }) {
  received.set(request.headers['attempt-id'], { path: request.url, bytes: body.length });
  await sleep(50);
  response.writeHead(200, { ...headers, 'Content-Length': 2 });
  response.end('ok');
}

const workers = [];
for (const zone of ['a', 'b', 'c']) workers.push(await startWorker(store, { zone, run }));
const gateways = await startGateways(store, 3);
await sleep(1500);

/** A document that quotes a request. The id in it is one that no client sends. */
function createDocument(innerId, innerPath) {
  const quoted = composeRequest({ id: innerId, method: 'POST', path: innerPath, deadline: 3000 });
  const text = `${quoted.replace(/\r\n\r\n$/, '\r\nContent-Length: 0\r\n\r\n')}`;
  return Buffer.concat([Buffer.from(text), Buffer.alloc(BODY_BYTES - text.length, '\r\n')]);
}

const sentIds = new Set();
const innerIds = new Set();
for (let index = 0; index < REQUESTS; index += 1) {
  const id = createId();
  const innerId = `inner${createId()}`;
  sentIds.add(id);
  innerIds.add(innerId);
  const body = createDocument(innerId, `/admin/${index}`);
  const framing = hasTrouble ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`;
  const connection = openConnection(gateways[index % gateways.length]);
  const path = `/orders/${index}`;
  record(`sent    ${id} DELETE ${path} ${body.length} bytes, ${framing}`);
  connection.socket.write(
    composeRequest({ id, method: 'DELETE', path, deadline: 3000, headers: [framing] }),
  );
  for (let at = 0; at < body.length; at += CHUNK_BYTES) {
    const piece = body.subarray(at, at + CHUNK_BYTES);
    if (hasTrouble) connection.socket.write(`${piece.length.toString(16)}\r\n`);
    connection.socket.write(piece);
    if (hasTrouble) connection.socket.write('\r\n');
  }
  if (hasTrouble) connection.socket.write('0\r\n\r\n');
  for (let tries = 0; tries < 700 && connection.answers.length === 0; tries += 1) await sleep(5);
  const [answer] = connection.answers;
  record(`answer  ${id} status=${answer?.status} ${answer?.body}`);
  connection.socket.destroy();
}
await sleep(500);

const smuggled = [...received.keys()].filter((id) => !sentIds.has(id));
const changed = [...sentIds].filter(
  (id) => received.has(id) && received.get(id).bytes !== BODY_BYTES,
);
for (const id of smuggled) {
  record(`a worker ran ${id} ${received.get(id).path}, which no client sent`);
}
for (const id of changed) {
  record(`a worker ran ${id} with a body of ${received.get(id).bytes} bytes of ${BODY_BYTES}`);
}
const verdict =
  `${REQUESTS} requests sent, ${received.size} run; ${smuggled.length} run that no client sent, ` +
  `${changed.length} run with another body`;
if ([...sentIds].every((id) => !received.has(id))) finish(2, verdict);
finish(smuggled.length + changed.length > 0 ? 1 : 0, verdict);
