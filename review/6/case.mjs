/**
 * Long answers without a length, on connections to workers that are reset in transit, by a proxy
 * between the gateways and each worker.
 */
import net from 'node:net';
import {
  beginRecord,
  createId,
  finish,
  hasTrouble,
  putConfiguration,
  record,
  send,
  sleep,
  startGateways,
  startStore,
  startWorker,
} from '../kit-2.mjs';

const REQUESTS = 120;
const REQUEST_INTERVAL_MS = 100;
const ANSWER_BYTES = 540_000;
/** A link of 7 Mbit/s. */
const BYTES_PER_MS = 875;
const PIECE_MS = 40;
const TIMEOUT_MS = 5000;
/** How many of the connections to workers are reset each time, and how often. */
const RESET_SHARE = 0.3;
const RESET_INTERVAL_MS = 2000;
const PROXY_HOST = '127.0.42.3';

beginRecord(import.meta.url);
const store = await startStore();
putConfiguration(store, [
  { name: 'export', kind: 'download', prefix: '/export/', timeout: TIMEOUT_MS, attempts: 1 },
]);

/** What each worker's whole answer is. */
const createBody = (id) => Buffer.alloc(ANSWER_BYTES, `${id} `);

async function run(request, response, { headers }) {
  const body = createBody(request.headers['attempt-id']);
  await sleep(50);
  // No length and no chunks: the answer ends with its connection.
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, headers);
  for (let at = 0; at < body.length && !response.destroyed; at += BYTES_PER_MS * PIECE_MS) {
    response.write(body.subarray(at, at + BYTES_PER_MS * PIECE_MS));
    await sleep(PIECE_MS);
  }
  response.end();
}

/** Connections from gateways to workers, by way of the proxies. */
const links = new Set();

/** Starts a proxy before a worker; returns its address. */
function startProxy(address) {
  const [host, port] = address.split(':');
  const server = net.createServer((gatewaySide) => {
    const workerSide = net.connect({ host, port: Number(port) });
    const link = { gatewaySide, workerSide };
    links.add(link);
    gatewaySide.pipe(workerSide);
    workerSide.pipe(gatewaySide);
    for (const socket of [gatewaySide, workerSide]) {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        links.delete(link);
        gatewaySide.destroy();
        workerSide.destroy();
      });
    }
  });
  return new Promise((resolve) => {
    server.listen(0, PROXY_HOST, () => resolve(`${PROXY_HOST}:${server.address().port}`));
  });
}

for (const zone of ['a', 'b', 'c', 'a', 'b', 'c']) {
  await startWorker(store, { zone, run, wrapAddress: startProxy });
}
const gateways = await startGateways(store, 3);
await sleep(1500);

const resetter = setInterval(() => {
  if (!hasTrouble) return;
  const chosen = [...links].filter(() => Math.random() < RESET_SHARE);
  record(`trouble ${chosen.length} of ${links.size} connections to workers are reset`);
  for (const { gatewaySide } of chosen) gatewaySide.resetAndDestroy();
}, RESET_INTERVAL_MS);

const results = [];
for (let index = 0; index < REQUESTS; index += 1) {
  const id = createId();
  const gateway = gateways[index % gateways.length];
  const sent = send(gateway, { id, path: `/export/${index}`, deadline: 6000 });
  results.push(sent.then((answer) => ({ ...answer, id })));
  await sleep(REQUEST_INTERVAL_MS);
}
const answers = await Promise.all(results);
clearInterval(resetter);

const successes = answers.filter(({ isComplete, status }) => isComplete && status === 200);
const short = successes.filter(
  ({ id, headers, body }) =>
    headers['server-signature'] !== undefined && !body.equals(createBody(id)),
);
for (const { id, body } of short) {
  record(`${id}: a signed 200 ends in order after ${body.length} of ${ANSWER_BYTES} bytes`);
}
const verdict =
  `${answers.length} requests, ${successes.length} successes that look complete, ` +
  `${short.length} of them without the whole body`;
if (successes.length === 0) finish(2, verdict);
finish(short.length > 0 ? 1 : 0, verdict);
