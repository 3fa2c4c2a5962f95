/**
 * Stand-ins and helpers for the cases of the second review: the platform's store, workers, a client
 * that reads raw bytes, and the gateway processes, started as the deploy file says.
 *
 * Everything listens on loopback addresses with free ports. Whatever was started ends with
 * `finish`, also when the script is stopped early.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const STORE_HOST = '127.0.42.1';
const WORKER_HOST = '127.0.42.2';
const SERVICE_HOST = 'shop.example';
const HEARTBEAT_MS = 1500;
const SCRIPT_LIMIT_MS = 110_000;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Whether the script makes its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

let recordFile;
const startedAt = Date.now();
const children = new Set();
const directory = mkdtempSync(join(tmpdir(), 'review-'));

/** Begins the record of a case, in the folder of its script. */
export function beginRecord(scriptUrl) {
  recordFile = fileURLToPath(new URL('record.txt', scriptUrl));
  writeFileSync(recordFile, `trouble=${hasTrouble ? 1 : 0}\n`);
}

/** Writes one line to the record, with the milliseconds since the start. */
export function record(text) {
  appendFileSync(recordFile, `${String(Date.now() - startedAt).padStart(6)} ${text}\n`);
}

/* eslint-disable n/no-process-exit -- the exit code of a script is its verdict */

const VERDICTS = ['held', 'BROKEN', 'could not run'];

/** Ends everything that was started, and the script: 0 held, 1 broken, 2 could not run. */
export function finish(code, verdict) {
  record(`verdict ${code}: ${verdict}`);
  process.stdout.write(`${VERDICTS[code]}: ${verdict}\n`);
  process.exit(code);
}

process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
  rmSync(directory, { recursive: true, force: true });
});
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(2));
setTimeout(() => finish(2, 'the script took too long'), SCRIPT_LIMIT_MS).unref();
process.on('uncaughtException', (error) => finish(2, `the script failed: ${error.stack}`));

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds the first of `count` ports in a row that are free on all hosts. */
async function findPorts(hosts, count) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 9000);
    const checks = [];
    for (const host of hosts) {
      for (let index = 0; index < count; index += 1) checks.push(isFree(host, first + index));
    }
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
}

function listen(server, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve(server.address().port));
  });
}

async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

const encodeDocument = (document) => Buffer.from(JSON.stringify(document)).toString('base64');

/** Starts the platform's store: keys, ranges, watches, conditional writes and leases, and one fault: busy. */
export async function startStore() {
  const items = new Map();
  const history = [];
  let revision = 1;
  let wakers = [];
  const encode = ([key, item]) => ({
    ...{ key_file: key, value: item.value, revision: item.revision },
    ...{ create_revision: item.created, lease: 0 },
  });
  const change = (key, value) => {
    revision += 1;
    if (value === undefined) {
      items.delete(key);
      history.push({ key_file: key, revision, removed: true });
    } else {
      items.set(key, { value, revision, created: items.get(key)?.created ?? revision });
      history.push(encode([key, items.get(key)]));
    }
    const waiting = wakers;
    wakers = [];
    for (const wake of waiting) wake();
  };
  const waitForChange = (end) =>
    new Promise((resolve) => {
      wakers.push(resolve);
      setTimeout(resolve, Math.max(1, end - Date.now()));
    });
  const put = (key, document) => change(key, encodeDocument(document));
  let isBusy = false;
  /** Writes a worker's entry; a heartbeat that changes nothing but `seq` is no change. */
  const beat = (key, document) => {
    if (items.has(key)) items.get(key).value = encodeDocument(document);
    else put(key, document);
  };
  const serve = async (request) => {
    if (isBusy) return [503, {}];
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const prefix = query.get('path_prefix') ?? '';
    switch (url.pathname) {
      case '/kv-key': {
        const item = items.get(query.get('key_file'));
        if (item === undefined) return [404, {}];
        return [200, { ...encode([query.get('key_file'), item]), store_revision: revision }];
      }
      case '/kv-range': {
        const found = [...items]
          .filter(([key]) => key.startsWith(prefix) && key > (query.get('after') ?? ''))
          .sort(([a], [b]) => (a < b ? -1 : 1))
          .map(encode);
        return [200, { items: found, truncated: false, store_revision: revision }];
      }
      case '/kv-watch': {
        const after = Number(query.get('after'));
        const end = Date.now() + Number(query.get('wait_ms'));
        for (;;) {
          const events = history.filter(
            (event) => event.revision > after && event.key_file.startsWith(prefix),
          );
          if (isBusy) return [503, {}];
          if (events.length > 0 || Date.now() >= end) {
            return [200, { events, store_revision: revision }];
          }
          await waitForChange(end);
        }
      }
      case '/kv-txn': {
        const body = JSON.parse((await readAll(request)).toString());
        const isMet = body.expected_revision.every(
          (row) => (items.get(row.key_file)?.revision ?? 0) === row.revision,
        );
        if (!isMet) {
          const current = body.expected_revision
            .filter((row) => items.has(row.key_file))
            .map((row) => encode([row.key_file, items.get(row.key_file)]));
          return [412, { items: current }];
        }
        for (const row of body.set_keys) change(row.key_file, row.value);
        for (const key of body.remove) change(key, undefined);
        return [200, { revision }];
      }
      default:
        return [404, {}];
    }
  };
  const server = http.createServer((request, response) => {
    serve(request)
      .then(([status, body]) => {
        const text = JSON.stringify(body);
        setTimeout(() => {
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(text);
        }, 4);
      })
      .catch(() => response.destroy());
  });
  const port = await listen(server, STORE_HOST);
  return {
    address: `${STORE_HOST}:${port}`,
    ...{ put, beat, remove: (key) => change(key, undefined) },
    /** From now on the store refuses every call, or serves again. */
    setBusy: (value) => {
      isBusy = value;
      const waiting = wakers;
      wakers = [];
      for (const wake of waiting) wake();
    },
  };
}

let configurationVersion = 4;

/**
 * Writes the configuration of the operators: one service, and one route for each entry.
 *
 * @param routes rows of `name`, `kind`, `prefix`, `timeout`, `aim`, `attempts`
 */
export function putConfiguration(store, routes, service = 'lager') {
  configurationVersion += 3;
  store.put('op/config', {
    version: configurationVersion,
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 67_108_864 },
      ...{ header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    },
    listeners: [
      {
        host: SERVICE_HOST,
        rule_set: routes.map(({ name, kind, prefix, timeout, aim = 300, attempts = 2 }) => ({
          ...{ name, kind, target_latency_ms: aim, priority: 1, match: { path_prefix: prefix } },
          action: { service, timeout_ms: timeout, max_attempts: attempts },
        })),
      },
    ],
    clusters: [
      { name: service, health_path: '/health', max_connections: 260, protocol: 'h1', tls: false },
    ],
  });
}

let workerCount = 0;

/**
 * Starts a worker and records it in the store. It checks `Expect-Instance`, answers its health path
 * and tells its load; `run` makes the answer to every other request.
 *
 * Options: `run`, called with the request, the response and the body once the request has been read;
 * `wrapAddress`, which returns the address of a proxy to record in the worker's place; `isSilent`,
 * whether the worker answers nothing now, closes nothing and writes nothing to the store.
 */
export async function startWorker(store, options) {
  const { slots = 6, zone = 'a', service = 'lager', run, wrapAddress = (it) => it } = options;
  const { isSilent = () => false } = options;
  workerCount += 1;
  const id = `i-${process.pid.toString(16)}${workerCount}`;
  const state = { id, running: 0, runs: [], sockets: new Set() };
  const readLoad = () => `${state.running},0,${slots},100`;
  const server = http.createServer((request, response) => {
    if (isSilent(state)) {
      // The request is taken and never answered.
      request.resume();
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, {
        ...{ 'Instance-Id': id, 'Server-Load': readLoad(), 'Content-Length': 0 },
      });
      response.end();
      return;
    }
    const attemptId = request.headers['attempt-id'];
    const expected = request.headers['expect-instance'];
    if (attemptId === undefined || (expected !== undefined && expected !== id)) {
      const status = attemptId === undefined ? 400 : 421;
      request.resume();
      response.writeHead(status, { 'Not-Executed': 1, 'Instance-Id': id, 'Content-Length': 0 });
      response.end();
      return;
    }
    if (state.running >= slots) {
      request.resume();
      response.writeHead(503, {
        ...{ 'Not-Executed': 1, 'Attempt-Id': attemptId, 'Server-Load': readLoad() },
        'Content-Length': 0,
      });
      response.end();
      return;
    }
    state.running += 1;
    response.once('close', () => {
      state.running -= 1;
    });
    readAll(request)
      .then((body) => {
        state.runs.push({ attemptId, method: request.method, path: request.url });
        record(`run     ${id} ${attemptId} ${request.method} ${request.url} ${body.length} bytes`);
        run(request, response, {
          ...{ body, worker: state },
          headers: {
            ...{ 'Attempt-Id': attemptId, 'Server-Signature': `sig.${id}.${attemptId}` },
            'Server-Load': readLoad(),
          },
        });
      })
      .catch(() => undefined);
  });
  server.keepAliveTimeout = 10_000;
  server.on('connection', (socket) => {
    state.sockets.add(socket);
    socket.on('close', () => state.sockets.delete(socket));
    socket.on('error', () => undefined);
  });
  const port = await listen(server, WORKER_HOST);
  const address = await wrapAddress(`${WORKER_HOST}:${port}`);
  let seq = 0;
  const beat = () => {
    if (isSilent(state) || state.hasLapsed) return;
    seq += 1;
    store.beat(`servers/${id}`, {
      address,
      info: { service, version: 'v1', zone, slots },
      status: { state: 'ready', seq, warmup_left_ms: 0 },
    });
  };
  beat();
  const heartbeat = setInterval(beat, HEARTBEAT_MS);
  /** Ends the worker as a crash does: it closes its port and connections and declares nothing. */
  state.crash = () => {
    clearInterval(heartbeat);
    server.close();
    for (const socket of state.sockets) socket.resetAndDestroy();
    setTimeout(() => store.remove(`servers/${id}`), 3 * HEARTBEAT_MS);
  };
  /** Removes the entry, as its lease has run out, and keeps it away until `restore`. */
  state.lapse = () => {
    state.hasLapsed = true;
    store.remove(`servers/${id}`);
  };
  state.restore = () => {
    state.hasLapsed = false;
    beat();
  };
  return state;
}

/** Reads the command by which the deploy file starts the gateway. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command = ''] = /^run = "(.*)"$/m.exec(text) ?? [];
  return command.split(' ');
}

/** Starts the gateways of a small deployment; resolves when all are ready. */
export async function startGateways(store, count) {
  const hosts = Array.from({ length: count }, (_, index) => `127.0.42.${index + 11}`);
  const first = await findPorts(hosts, 8);
  const ports = { front: first, ready: first + 1, directory: first + 2, metrics: first + 3 };
  const peers = first + 4;
  const [program, ...args] = readCommand();
  const gateways = hosts.map((host, index) => {
    const zone = ['a', 'b', 'c'][index % 3];
    const file = join(directory, `gateway-${index}.ini`);
    const settings = [
      ...['[gateway]', `name = front-${zone}-${index + 1}`, `ip = ${host}`, `domain = ${zone}`],
      ...['region = r1', `callers = ${host}:${ports.front}`, `readiness = ${host}:${ports.ready}`],
      ...[`directory = ${host}:${ports.directory}`, `metrics = ${host}:${ports.metrics}`],
      ...[
        `peer_ports = ${peers},${peers + 3}`,
        `seeds = ${hosts.map((it) => `${it}:1`).join(',')}`,
      ],
      ...['first_start = true', 'domains = a:r1,b:r1,c:r1'],
      ...['[machine]', 'cpu_share = 0.54', 'core_speed = 1'],
      ...['[platform]', `address = ${store.address}`],
      ...['[promises]', 'grace = 6', 'answer_ttl = 5', 'retry_ratio = 0.2', 'retry_window = 10'],
      ...['retry_slack = 64', 'probes_per_second = 60', 'contact = 3000ms'],
      ...['config_apply = 2000ms', 'drain = 2000ms', ''],
    ].join('\n');
    writeFileSync(file, settings);
    const gateway = { host, port: ports.front, readyPort: ports.ready, ends: [], child: undefined };
    const start = () => {
      const child = spawn(program === 'node' ? process.execPath : program, args, {
        ...{ cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'] },
        env: { ORCHIDBEAM_SETTINGS: file, PATH: process.env.PATH, HOME: process.env.HOME },
      });
      gateway.child = child;
      children.add(child);
      let tail = '';
      const keep = (data) => {
        tail = (tail + data).slice(-3000);
      };
      child.stdout.on('data', keep);
      child.stderr.on('data', keep);
      child.once('exit', (code, signal) => {
        children.delete(child);
        gateway.ends.push({ code, signal });
        record(`ended   gateway ${host} code=${code} signal=${signal}`);
        for (const line of tail.trim().split('\n').slice(-12))
          record(`        | ${line.replaceAll(ROOT, '')}`);
        // The platform starts a process that has ended again.
        writeFileSync(file, settings.replace('first_start = true', 'first_start = false'));
        setTimeout(start, 300);
      });
      record(`started gateway ${host}`);
    };
    start();
    return gateway;
  });
  for (const gateway of gateways) {
    for (let tries = 0; ; tries += 1) {
      if (tries > 150) finish(2, 'a gateway did not get ready');
      const { status } = await get(gateway.host, gateway.readyPort, '/ready');
      if (status === 200) break;
      await sleep(100);
    }
  }
  record('all gateways are ready');
  return gateways;
}

function get(host, port, path) {
  return new Promise((resolve) => {
    const request = http.get({ host, port, path, agent: false, timeout: 1000 }, (response) => {
      response.resume();
      resolve({ status: response.statusCode });
    });
    request.on('error', () => resolve({ status: 0 }));
  });
}

let requestCount = 0;

/** Makes the id of a new attempt. */
export function createId() {
  requestCount += 1;
  return `${process.pid.toString(16)}${requestCount.toString(16).padStart(8, '0')}`;
}

/** Composes a request as a client of the platform sends it. */
export function composeRequest({ id, method = 'GET', path, deadline, headers = [] }) {
  return [
    ...[`${method} ${path} HTTP/1.1`, `Host: ${SERVICE_HOST}`, `Attempt-Id: ${id}`],
    ...[`Request-Deadline-Ms: ${deadline}`, ...headers, '', ''],
  ].join('\r\n');
}

function findHead(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const [line, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const headers = Object.fromEntries(
    lines.map((text) => {
      const colon = text.indexOf(':');
      return [text.slice(0, colon).toLowerCase(), text.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(line.split(' ')[1]), headers, start: end + 4 };
}

/** Joins the chunks of a body; undefined while its last chunk is missing. */
function joinChunks(bytes) {
  const parts = [];
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) return undefined;
    const size = parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
    const start = lineEnd + 2;
    if (bytes.length < start + size + 2) return undefined;
    if (size === 0) return { body: Buffer.concat(parts), length: start + 2 };
    parts.push(bytes.subarray(start, start + size));
    at = start + size + 2;
  }
}

/**
 * Takes the next answer from the bytes of a connection. An answer without a length is complete when
 * the connection has ended in order.
 */
export function takeAnswer(bytes, hasEnded) {
  const head = findHead(bytes);
  if (head === undefined) return undefined;
  const { status, headers, start } = head;
  const rest = bytes.subarray(start);
  if (headers['transfer-encoding'] === 'chunked') {
    const joined = joinChunks(rest);
    if (joined === undefined) return undefined;
    return { status, headers, body: joined.body, length: start + joined.length };
  }
  const length = headers['content-length'];
  if (length !== undefined) {
    if (rest.length < Number(length)) return undefined;
    const body = rest.subarray(0, Number(length));
    return { status, headers, body, length: start + body.length };
  }
  return hasEnded ? { status, headers, body: rest, length: bytes.length } : undefined;
}

/**
 * Opens a client's connection. `answers` are the complete answers in order; `end` is `open`, `fin`
 * or `reset`. With `pause` the client reads at most `rate` bytes a second.
 */
export function openConnection(gateway, { rate } = {}) {
  const socket = net.connect(gateway.port, gateway.host);
  const connection = { socket, answers: [], end: 'open', bytes: Buffer.alloc(0), endedAt: 0 };
  const take = () => {
    for (;;) {
      const answer = takeAnswer(connection.bytes, connection.end === 'fin');
      if (answer === undefined) return;
      connection.bytes = connection.bytes.subarray(answer.length);
      connection.answers.push({ ...answer, at: Date.now() });
      if (connection.bytes.length === 0) return;
    }
  };
  socket.on('data', (data) => {
    connection.bytes = Buffer.concat([connection.bytes, data]);
    take();
    if (rate === undefined) return;
    socket.pause();
    setTimeout(() => socket.resume(), (data.length / rate) * 1000);
  });
  socket.on('end', () => {
    connection.end = 'fin';
    take();
  });
  socket.on('error', () => {
    connection.end = 'reset';
  });
  connection.closed = new Promise((resolve) => {
    socket.on('close', () => {
      if (connection.end === 'open') connection.end = 'fin';
      connection.endedAt = Date.now();
      resolve();
    });
  });
  return connection;
}

/** Sends one request on a connection of its own; resolves with the answer, or how it ended. */
export async function send(gateway, { body = Buffer.alloc(0), ...request }, { rate } = {}) {
  const connection = openConnection(gateway, { rate });
  const sentAt = Date.now();
  record(`sent    ${request.id} ${request.method ?? 'GET'} ${request.path} to ${gateway.host}`);
  connection.socket.write(composeRequest(request));
  if (body.length > 0) connection.socket.write(body);
  const limit = sentAt + request.deadline;
  while (connection.answers.length === 0 && connection.endedAt === 0 && Date.now() < limit) {
    await sleep(5);
  }
  const [answer] = connection.answers;
  const took = Date.now() - sentAt;
  const outcome = answer ?? { status: 0, headers: {}, body: connection.bytes };
  record(
    `answer  ${request.id} status=${outcome.status} body=${outcome.body.length} bytes ` +
      `complete=${answer !== undefined} connection=${connection.end} after ${took} ms`,
  );
  connection.socket.destroy();
  return { ...outcome, isComplete: answer !== undefined, end: connection.end, took };
}
