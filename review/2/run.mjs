// Clients send long bodies in chunks with methods that usually have none; see claim.txt.
import net from 'node:net';
import { HOST, Site, Worker, now, record, runCase, sleep } from '../kit.mjs';

/** Without the trouble the same bodies are sent with their length. */
const HAS_TROUBLE = process.env.TROUBLE !== '0';

const ROUNDS = 6;
const BODY_BYTES = 1_200_000;
const WORKERS = 6;
const CALLER_PORT = 8144;

const site = new Site();
await site.start(3);
site.configure(
  [
    { name: 'read', kind: 'safe', service: 'ledger-core' },
    { name: 'posting', kind: 'unsafe', service: 'ledger-core' },
  ],
  ['ledger-core'],
  { max_body_bytes: 67_108_864 },
);

/** What workers ran: id, method, path and number of body bytes. */
const runs = [];

/** A worker that counts the bytes of the bodies of what it runs. */
class LedgerWorker extends Worker {
  handle(request, response) {
    if (request.url !== '/health') {
      const run = { worker: this.id, method: request.method, path: request.url, bytes: 0 };
      run.id = request.headers['attempt-id'];
      request.on('data', (chunk) => {
        run.bytes += chunk.length;
      });
      request.on('end', () => {
        runs.push(run);
        record(`worker ${run.worker}: ran ${run.id} ${run.method} ${run.path}, ${run.bytes} bytes`);
      });
    }
    super.handle(request, response);
  }
}

for (let index = 0; index < WORKERS; index += 1) {
  const zone = site.zones[index % 3];
  const worker = new LedgerWorker({ id: `i-${index}`, service: 'ledger-core', zone, slots: 6 });
  site.addWorker(await worker.start());
}

/** Composes a body that looks like a request of its own. */
function composeInner(id) {
  const body = Buffer.alloc(BODY_BYTES, 'a');
  const head = [
    ...['POST /posting/transfer HTTP/1.1', `Host: ${HOST}`, `Attempt-Id: ${id}`],
    ...['Request-Deadline-Ms: 4000', `Content-Length: ${body.length}`],
  ];
  return Buffer.concat([Buffer.from(`${head.join('\r\n')}\r\n\r\n`), body]);
}

/** Sends one request on a new connection and resolves with the first line of its answer. */
async function sendRequest(host, { id, method, path, body }) {
  const head = [
    ...[`${method} ${path} HTTP/1.1`, `Host: ${HOST}`, `Attempt-Id: ${id}`],
    ...['Request-Deadline-Ms: 4000', 'Content-Type: application/octet-stream'],
    HAS_TROUBLE ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`,
  ];
  const socket = net.connect(CALLER_PORT, host);
  let answer = '';
  socket.on('data', (chunk) => {
    answer += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  if (HAS_TROUBLE) socket.write(`${body.length.toString(16)}\r\n`);
  socket.write(body);
  if (HAS_TROUBLE) socket.write('\r\n0\r\n\r\n');
  const until = now() + 4;
  while (now() < until && !answer.includes('\r\n\r\n')) await sleep(20);
  await sleep(300);
  socket.destroy();
  const [line] = answer.split('\r\n');
  record(`client ${id}: sent ${method} ${path}, ${body.length} bytes; answer: ${line}`);
}

await runCase(site, {
  rule: 'UNASKED',
  folder: import.meta.url,
  play: async () => {
    const sent = new Map();
    for (let round = 0; round < ROUNDS; round += 1) {
      const { ip } = site.machines[round % site.machines.length];
      const requests = [
        // A body that hides a request, in one that may be repeated.
        {
          ...{ id: `get-${round}`, method: 'GET', path: '/read/balance' },
          body: composeInner(`hidden-${round}`),
        },
        // An ordinary body.
        {
          ...{ id: `delete-${round}`, method: 'DELETE', path: '/posting/batch' },
          body: Buffer.alloc(BODY_BYTES, 'row;'),
        },
      ];
      for (const request of requests) {
        sent.set(request.id, request);
        await sendRequest(ip, request);
      }
    }
    await sleep(1000);
    const unasked = runs.filter(({ id }) => !sent.has(id));
    const changed = runs.filter(
      ({ id, bytes }) => sent.has(id) && bytes !== sent.get(id).body.length,
    );
    record(`sent ${sent.size}, run ${runs.length}`);
    record(
      `run with an id that no client sent: ${unasked.length}; run with another body: ${changed.length}`,
    );
    if (runs.length < ROUNDS) throw new Error('too few requests were run');
    return unasked.length + changed.length > 0;
  },
});
