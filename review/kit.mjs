// Shared by the scripts: starts the gateway by the command of the deploy file, with settings filled
// from its template, and has stand-ins for the platform, workers and clients.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
// eslint-disable-next-line import-x/no-useless-path-segments -- Node needs the file's name
import { KvServer } from '../dist/src/standin/index.js';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const startedAt = performance.now();

/** Seconds since the script began. */
export const now = () => (performance.now() - startedAt) / 1000;

/** Lines of record.txt. */
const lines = [];

export function record(text) {
  lines.push(`${now().toFixed(3).padStart(8)} ${text}`);
}

function writeRecord(file) {
  writeFileSync(file, `${lines.join('\n')}\n`);
}

/** Looks a name up, first in the innermost entry. */
function lookUp(scopes, name) {
  if (name === '.') return scopes[0].entry;
  if (name === '@') return scopes[0].key;
  const [first, ...rest] = name.split('.');
  const scope = scopes.find(({ entry }) => entry !== null && Object(entry)[first] !== undefined);
  return rest.reduce((value, key) => value?.[key], Object(scope?.entry)[first]);
}

/** Fills a settings template as the platform does (the parts that deploy/gateway.ini uses). */
function fill(template, scopes) {
  const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
  const opened = template.replace(section, (_, sign, name, inner) => {
    const value = lookUp(scopes, name);
    if (sign === '^') return value === undefined || value === false ? fill(inner, scopes) : '';
    if (value === undefined || value === false) return '';
    const entries = typeof value === 'object' ? Object.entries(value) : [['', value]];
    return entries
      .map(([key, entry], index) => {
        const text = inner.replaceAll('{{,}}', index < entries.length - 1 ? ',' : '');
        return fill(text, [{ entry, key }, ...scopes]);
      })
      .join('');
  });
  return opened.replace(/\{\{([\w.@]+)\}\}/g, (_, name) => {
    const value = lookUp(scopes, name) ?? '';
    return Array.isArray(value) ? value.join(',') : String(value);
  });
}

const [, command] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
const template = readFileSync('deploy/gateway.ini', 'utf8');

const PORTS = { front: 8144, ready: 8140, control: 8146, directory: 8143 };

/** A machine that runs the gateway; a process that ends by itself is started again. */
class Machine {
  constructor(site, index) {
    this.site = site;
    this.ip = `${site.net}.${index + 1}`;
    this.zone = site.zones[index % site.zones.length];
    this.isFirst = true;
    this.isWanted = true;
    this.ownEnds = 0;
    this.starts = 0;
    this.file = join(site.folder, `${this.ip}.ini`);
  }

  start() {
    const { site, ip, zone } = this;
    const listen = Object.fromEntries(
      Object.entries(PORTS).map(([name, port]) => [name, `${ip}:${port}`]),
    );
    const seeds = [1, 2, 3].map((host) => `${site.net}.${host}:${PORTS.control}`);
    const fields = {
      ...{ node: `front-${zone}-${ip}`, ip, zone, region: 'r1', internal_port_range: [7660, 7675] },
      zones: Object.fromEntries(site.zones.map((name) => [name, 'r1'])),
      ...{ seeds, bootstrap: this.isFirst, listen },
      limits: { cpu_share: 0.54, cpu_cores: 1 },
      platform: { address: site.storeAddress },
      bounds: site.bounds,
    };
    this.isFirst = false;
    writeFileSync(this.file, fill(template, [{ entry: fields, key: '' }]));
    const [program, ...args] = command.split(' ');
    const child = spawn(program, args, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ORCHIDBEAM_SETTINGS: this.file },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.child = child;
    this.starts += 1;
    record(`machine ${ip}: process started`);
    let errors = '';
    child.stderr.on('data', (chunk) => {
      errors = (errors + chunk).slice(-4000);
    });
    child.once('exit', (code, signal) => {
      this.child = undefined;
      if (!this.isWanted) return;
      this.ownEnds += 1;
      const [reason = ''] = /^\w*Error.*$/m.exec(errors) ?? [];
      record(`machine ${ip}: process ended by itself, code ${code} signal ${signal}: ${reason}`);
      setTimeout(() => {
        if (this.isWanted) this.start();
      }, 300);
    });
  }

  /** Ends the process for good. */
  stop() {
    this.isWanted = false;
    this.child?.kill('SIGKILL');
  }
}

/** Asks a daemon; undefined without an answer. */
export function ask(host, port, path) {
  return new Promise((resolve) => {
    const request = http.get({ host, port, path, agent: false, timeout: 1000 }, (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += chunk;
      });
      response.on('end', () => resolve({ status: response.statusCode, text }));
      response.on('error', () => resolve(undefined));
    });
    request.on('error', () => resolve(undefined));
    request.on('timeout', () => request.destroy());
  });
}

export const HOST = 'ficu95.example';

/** A small deployment with its stand-ins. */
export class Site {
  constructor({ zones = ['a', 'b', 'c'], bounds = {} } = {}) {
    this.zones = zones;
    this.bounds = {
      ...{ grace_s: 6, ttl_max_s: 5, retry_budget_ratio: 0.2, budget_window_s: 10 },
      ...{ budget_slack: 64, probes_per_s: 60, contact_ms: 3000, config_apply_ms: 2000 },
      ...{ drain_ms: 2000, ...bounds },
    };
    const part = () => 64 + Math.floor(Math.random() * 128);
    this.net = `127.${part()}.${part()}`;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.machines = [];
    this.workers = [];
    this.version = 0;
    process.on('exit', () => {
      for (const { child } of this.machines) child?.kill('SIGKILL');
    });
    // eslint-disable-next-line n/no-process-exit -- the handler above ends the machines
    for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(2));
  }

  async start(machines = 3) {
    this.store = new KvServer();
    const { host, port } = await this.store.start();
    this.storeAddress = `${host}:${port}`;
    for (let index = 0; index < machines; index += 1) this.machines.push(new Machine(this, index));
  }

  /** Writes a configuration, as the operator does. */
  configure(rules, services, limits = {}) {
    this.version += 3;
    const document = {
      version: this.version,
      limits: {
        ...{ max_header_bytes: 8192, max_body_bytes: 4_000_000 },
        ...{ header_timeout_ms: 3000, idle_timeout_ms: 5000, ...limits },
      },
      listeners: [
        {
          host: HOST,
          rule_set: rules.map((rule) => ({
            ...{
              name: rule.name,
              kind: rule.kind,
              priority: 1,
              target_latency_ms: rule.aim ?? 600,
            },
            match: { path_prefix: `/${rule.name}/` },
            action: {
              ...{ service: rule.service, timeout_ms: rule.timeout ?? 2000 },
              max_attempts: rule.attempts ?? 2,
            },
          })),
        },
      ],
      clusters: services.map((name) => ({ name, health_path: '/health', max_connections: 260 })),
    };
    this.store.put('op/config', JSON.stringify(document));
  }

  addWorker(worker) {
    this.workers.push(worker);
    worker.seq = 1;
    this.putWorker(worker);
  }

  putWorker({ id, port, service, zone, slots, seq }, state = 'ready') {
    const entry = {
      address: `127.0.0.1:${port}`,
      info: { service, version: 'v1', zone, slots },
      status: { state, seq, warmup_left_ms: 0 },
    };
    this.store.put(`servers/${id}`, JSON.stringify(entry));
  }

  async waitUntilReady() {
    for (const machine of this.machines) machine.start();
    for (const machine of this.machines) {
      for (;;) {
        if (now() > 25) throw new Error('a machine is not ready');
        const reply = await ask(machine.ip, PORTS.ready, '/ready');
        if (reply?.status === 200) break;
        await sleep(50);
      }
    }
    record('all machines are ready');
  }

  /** Resolves as a client does: the front addresses to use. */
  async resolve(zone) {
    for (const machine of this.machines) {
      const path = `/resolve?name=${HOST}&region=r1&zone=${zone}`;
      const reply = await ask(machine.ip, PORTS.directory, path);
      if (reply?.status === 200) return JSON.parse(reply.text).addresses;
    }
    return [];
  }

  /** Ends all that was started. */
  async stop() {
    for (const machine of this.machines) machine.stop();
    for (const worker of this.workers) worker.stop();
    this.store.stop();
    await sleep(100);
    rmSync(this.folder, { recursive: true });
  }
}

/**
 * A worker: runs a request for the time that it draws and answers with its signature, the id of the
 * request and its load.
 */
export class Worker {
  constructor({ id, service, zone, slots, createBody }) {
    Object.assign(this, { id, service, zone, slots, createBody });
    this.isSound = true;
    this.running = 0;
    this.ran = new Map();
    this.sockets = new Set();
  }

  async start() {
    this.server = http.createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
    return this;
  }

  get load() {
    return `${Math.min(this.running, this.slots)},${Math.max(0, this.running - this.slots)},${this.slots},100`;
  }

  handle(request, response) {
    if (request.url === '/health') {
      response.writeHead(200, { 'Instance-Id': this.id, 'Server-Load': this.load });
      response.end();
      return;
    }
    const attempt = request.headers['attempt-id'];
    if ((request.headers['expect-instance'] ?? this.id) !== this.id) {
      response.writeHead(421, { 'Attempt-Id': attempt, 'Content-Length': 0 }).end();
      return;
    }
    request.resume();
    if (this.running >= this.slots * 3) {
      response.writeHead(503, {
        ...{ 'Attempt-Id': attempt, 'Not-Executed': '1', 'Content-Length': 0 },
        'Server-Load': this.load,
      });
      response.end();
      return;
    }
    this.running += 1;
    this.ran.set(attempt, now());
    record(`worker ${this.id}: runs ${attempt}`);
    setTimeout(() => {
      this.running -= 1;
      if (response.destroyed) return;
      const body = this.createBody?.(attempt) ?? Buffer.from(`${this.id} ${attempt}\n`);
      record(`worker ${this.id}: answers ${attempt}`);
      this.sendAnswer(request, response, body);
    }, this.drawWork());
  }

  /** How long a request takes, in milliseconds. */
  drawWork() {
    return 105 + Math.random() * 90;
  }

  sendAnswer(request, response, body) {
    response.writeHead(200, {
      ...{ 'Attempt-Id': request.headers['attempt-id'], 'Server-Signature': this.id },
      ...{ 'Server-Load': this.load, 'Content-Length': body.length },
    });
    response.end(body);
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

let lastId = 0;

/** A client that keeps one connection and sends one request at a time on it. */
class Client {
  constructor(name, address) {
    const [host, port] = address.split(':');
    Object.assign(this, { name, host, port: Number(port), requestsOnConnection: 0 });
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  /** Sends a request; resolves with what became of it. */
  send(path, { method = 'GET', deadline = 4000, body, onSent } = {}) {
    lastId += 1;
    const id = `${this.name}-${lastId}`;
    onSent?.(id);
    const sent = { id, machine: this.host, isKept: false, sentAt: now() };
    return new Promise((resolve) => {
      let isDone = false;
      const finish = (outcome) => {
        if (isDone) return;
        isDone = true;
        const result = { ...sent, ...outcome, took: now() - sent.sentAt };
        record(
          `client ${id}: ${result.kind} ${result.status ?? ''} after ${result.took.toFixed(3)} s`,
        );
        resolve(result);
      };
      const request = http.request({
        ...{ agent: this.agent, host: this.host, port: this.port, path, method },
        headers: {
          ...{ Host: HOST, 'Attempt-Id': id, 'Request-Deadline-Ms': String(deadline) },
          ...(body === undefined ? {} : { 'Content-Length': body.length }),
        },
      });
      request.on('socket', () => {
        sent.isKept = request.reusedSocket;
        record(`client ${id}: sent to ${this.host}${sent.isKept ? ', kept connection' : ''}`);
      });
      const timer = setTimeout(() => {
        finish({ kind: 'gave up' });
        request.destroy();
      }, deadline);
      request.on('error', (error) => {
        clearTimeout(timer);
        finish({ kind: 'closed', reason: error.code });
      });
      request.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          clearTimeout(timer);
          const status = response.statusCode;
          const { headers } = response;
          if (!response.complete) finish({ kind: 'cut', status, headers });
          else finish({ kind: 'answered', status, headers, body: Buffer.concat(chunks) });
        });
      });
      request.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}

/** The most requests that LOST lets a machine hand on and then close without an answer. */
const MAX_LOST = 3;

/**
 * Judges LOST: requests that came on a kept connection, were run by a sound worker, and whose
 * connection was closed without any answer; more than three at one machine break it.
 */
export function judgeLost(site, results) {
  const lost = results.filter(({ id, kind, isKept }) => {
    const worker = site.workers.find(({ ran }) => ran.has(id));
    return kind === 'closed' && isKept && worker?.isSound === true;
  });
  let isBroken = false;
  for (const { ip, ownEnds } of site.machines) {
    const count = lost.filter(({ machine }) => machine === ip).length;
    isBroken ||= count > MAX_LOST;
    record(`machine ${ip}: ended by itself ${ownEnds} times, lost ${count} requests`);
  }
  return isBroken;
}

/**
 * Runs clients for `end` seconds. Each resolves, keeps one connection to one of the addresses, and
 * moves to another connection when an answer fails. `send(client, index)` sends one request.
 */
export async function runClients(site, { count, end, pause, send }) {
  const results = [];
  const runClient = async (index) => {
    let client;
    while (now() < end) {
      if (client === undefined) {
        const addresses = await site.resolve(site.zones[index % site.zones.length]);
        if (addresses.length === 0) {
          await sleep(200);
          continue;
        }
        const address = addresses[Math.floor(Math.random() * addresses.length)];
        client = new Client(`c${index}`, address);
      }
      const result = await send(client, index);
      results.push(result);
      if (result.kind !== 'answered') {
        client.close();
        client = undefined;
      }
      await sleep(pause * (0.5 + Math.random()));
    }
    client?.close();
  };
  await Promise.all(Array.from({ length: count }, (_, index) => runClient(index)));
  const answered = results.filter(({ kind }) => kind === 'answered').length;
  record(`sent ${results.length}, answered ${answered}`);
  return results;
}

/**
 * Plays a case and ends the script: with 1 if `play` returns that the rule is broken, 0 if it held,
 * 2 if it could not run.
 */
export async function runCase(site, { rule, folder, play }) {
  let exitCode = 2;
  try {
    await site.waitUntilReady();
    await sleep(1500);
    record('traffic begins');
    exitCode = (await play()) ? 1 : 0;
    const verdict = exitCode === 1 ? `${rule} is broken` : `${rule} held`;
    record(verdict);
    process.stdout.write(`${verdict}\n`);
  } catch (error) {
    record(`could not run: ${error.stack}`);
  }
  await site.stop();
  writeRecord(new URL('record.txt', folder));
  // eslint-disable-next-line n/no-process-exit -- nothing else is to keep the script running
  process.exit(exitCode);
}
