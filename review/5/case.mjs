/** Workers that spoil the status line of a few answers: `000` is no status. */
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

const WORKERS = 9;
/** Share of the workers that spoil answers, of how many of them, and for how long. */
const SPOILING_WORKERS = 3;
const SPOILED_SHARE = 0.02;
const SPOILING_TIME_MS = 5500;
const CALM_TIME_MS = 3000;
const ROUNDS = 6;
const WORK_MS = 100;
const REQUEST_INTERVAL_MS = 5;

beginRecord(import.meta.url);
const store = await startStore();
putConfiguration(store, [
  { name: 'pay', kind: 'unsafe', prefix: '/pay/', timeout: 2500, aim: 800 },
]);
const spoiling = new Set();

async function run(request, response, { headers, worker }) {
  await sleep(WORK_MS * (0.7 + 0.6 * Math.random()));
  if (spoiling.has(worker) && Math.random() < SPOILED_SHARE) {
    record(`worker  ${worker.id} spoils its answer to ${request.headers['attempt-id']}`);
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    response.socket.write(
      ['HTTP/1.1 000 OK', ...lines, 'Content-Length: 2', '', 'ok'].join('\r\n'),
    );
    return;
  }
  response.writeHead(200, { ...headers, 'Content-Length': 2 });
  response.end('ok');
}

const workers = [];
for (let index = 0; index < WORKERS; index += 1) {
  workers.push(await startWorker(store, { zone: ['a', 'b', 'c'][index % 3], run }));
}
const gateways = await startGateways(store, 3);
await sleep(1500);
let isOver = false;
const sent = [];
const traffic = (async () => {
  for (let index = 0; !isOver; index += 1) {
    const gateway = gateways[index % gateways.length];
    const request = { id: createId(), method: 'POST', path: `/pay/${index}`, deadline: 5000 };
    sent.push(
      send(gateway, { ...request, headers: ['Content-Length: 4'], body: Buffer.from('data') }),
    );
    await sleep(REQUEST_INTERVAL_MS);
  }
})();
for (let round = 0; round < ROUNDS; round += 1) {
  await sleep(CALM_TIME_MS);
  if (hasTrouble) {
    for (const worker of workers.slice(0, SPOILING_WORKERS)) spoiling.add(worker);
    record(`trouble ${SPOILING_WORKERS} workers spoil ${SPOILED_SHARE} of their answers`);
  }
  await sleep(SPOILING_TIME_MS);
  spoiling.clear();
  record('trouble ends');
}
isOver = true;
await traffic;
const answers = await Promise.all(sent);
const ends = gateways.map((gateway) => gateway.ends.length);
const complete = answers.filter(({ isComplete }) => isComplete).length;
const verdict =
  `processes of the gateways that ended by themselves: ${ends.join(', ')}; ` +
  `${answers.length} requests, ${complete} answered`;
finish(ends.filter((count) => count >= 3).length >= 2 ? 1 : 0, verdict);
