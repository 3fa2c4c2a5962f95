/**
 * Clients that keep their connection for many requests and send long uploads, while workers crash.
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

const WORKERS = 14;
const CLIENTS = 30;
const RUN_TIME_MS = 45_000;
const PAUSE_MS = 200;
const WORK_MS = 100;

/** Longer than what a gateway buffers, sent over a link of 7 Mbit/s. */
const UPLOAD_BYTES = 1_300_000;
const BYTES_PER_MS = 875;
const PIECE_MS = 40;
const UPLOAD_TIMEOUT_MS = 5000;

const POSTING_BYTES = 2000;
const POSTING_TIMEOUT_MS = 2000;
const DEADLINE_MS = 5000;
/** Half a second after the route's time-out a final answer is due. */
const GRACE_MS = 500;

/** Two of 14 workers (a share of 0.143) crash at a time, and others take their place after 4.5 s. */
const CRASHING_WORKERS = 2;
const DOWN_TIME_MS = 4500;
const CALM_TIME_MS = 1500;

beginRecord(import.meta.url);
const store = await startStore();
putConfiguration(store, [
  { name: 'upload', kind: 'upload', prefix: '/upload/', timeout: UPLOAD_TIMEOUT_MS, aim: 4000 },
  { name: 'posting', kind: 'unsafe', prefix: '/posting/', timeout: POSTING_TIMEOUT_MS, aim: 800 },
]);

async function run(request, response, { headers, body }) {
  await sleep(WORK_MS * (0.7 + 0.6 * Math.random()));
  const text = `${body.length} bytes`;
  response.writeHead(200, { ...headers, 'Content-Length': text.length });
  response.end(text);
}

const startNext = (index) => startWorker(store, { zone: ['a', 'b', 'c'][index % 3], run });
const workers = [];
for (let index = 0; index < WORKERS; index += 1) workers.push(await startNext(index));
const gateways = await startGateways(store, 3);
await sleep(1500);

const startedAt = Date.now();
let isOver = false;

async function playCrashes() {
  for (let first = 0; !isOver; first = (first + CRASHING_WORKERS) % WORKERS) {
    await sleep(CALM_TIME_MS);
    const indexes = [first, first + 1];
    record(`trouble ${indexes.map((index) => workers[index].id).join(', ')} crash`);
    for (const index of indexes) workers[index].crash();
    await sleep(DOWN_TIME_MS);
    for (const index of indexes) workers[index] = await startNext(index);
    record('trouble ends');
  }
}

const counts = { uploads: 0, postings: 0, answered: 0 };
/** Postings that had no final answer at their route's time-out, and half a second later. */
const late = [];
const unanswered = [];

/** Sends a body to its end, whether or not the answer is there already, as its framing demands. */
async function writeBody(connection, body, isPaced) {
  const size = isPaced ? BYTES_PER_MS * PIECE_MS : body.length;
  for (let at = 0; at < body.length && connection.endedAt === 0; at += size) {
    connection.socket.write(body.subarray(at, at + size));
    if (isPaced) await sleep(PIECE_MS);
  }
}

/** Sends a request on a kept connection; returns a function that waits for its answer. */
async function start(connection, path, bytes) {
  const id = createId();
  const before = connection.answers.length;
  const headers = [`Content-Length: ${bytes}`];
  const head = composeRequest({ id, method: 'POST', path, deadline: DEADLINE_MS, headers });
  record(`sent    ${id} POST ${path}, ${bytes} bytes`);
  connection.socket.write(head);
  await writeBody(connection, Buffer.alloc(bytes, 'x'), bytes === UPLOAD_BYTES);
  const sentAt = Date.now();
  const isOpen = () => connection.answers.length === before && connection.endedAt === 0;
  const wait = async (limit) => {
    while (isOpen() && Date.now() < sentAt + limit) await sleep(5);
    return isOpen();
  };
  const tell = () => {
    const status = connection.answers[before]?.status ?? 'none';
    record(`answer  ${id} status=${status} connection=${connection.end} ${Date.now() - sentAt} ms`);
    return status;
  };
  return { id, wait, tell };
}

async function runClient(index) {
  const gateway = gateways[index % gateways.length];
  let connection = openConnection(gateway);
  await sleep(PAUSE_MS * index);
  while (Date.now() - startedAt < RUN_TIME_MS) {
    const upload = await start(connection, `/upload/${index}`, UPLOAD_BYTES);
    counts.uploads += 1;
    await upload.wait(DEADLINE_MS);
    upload.tell();
    await sleep(PAUSE_MS);
    if (connection.endedAt > 0) connection = openConnection(gateway);
    const posting = await start(connection, `/posting/${index}`, POSTING_BYTES);
    counts.postings += 1;
    if (await posting.wait(POSTING_TIMEOUT_MS)) late.push(posting.id);
    if (await posting.wait(POSTING_TIMEOUT_MS + GRACE_MS)) unanswered.push(posting.id);
    const isStuck = await posting.wait(DEADLINE_MS);
    if (posting.tell() === 200) counts.answered += 1;
    if (!isStuck && connection.endedAt === 0) continue;
    connection.socket.destroy();
    connection = openConnection(gateway);
  }
  connection.socket.destroy();
}

const crashes = hasTrouble ? playCrashes() : undefined;
await Promise.all(Array.from({ length: CLIENTS }, (_, index) => runClient(index)));
isOver = true;
await crashes;
const verdict =
  `${counts.uploads} uploads, ${counts.postings} postings behind them, ${counts.answered} answered ` +
  `200; ${late.length} without a final answer at their route's time-out, ${unanswered.length} of ` +
  `them still without one half a second later`;
if (counts.answered < counts.postings / 2) finish(2, verdict);
const isBroken = unanswered.length >= 8 && unanswered.length > late.length / 4;
finish(isBroken ? 1 : 0, verdict);
