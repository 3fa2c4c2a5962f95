/** A stand-in target as a process: `--listen a.b.c.d:port --slots N --service-time MS`. */
import http from 'node:http';
import { parseArgs } from 'node:util';
import { createSeededRandom, formatAddress, parseAddress } from '../kernel/index.js';
import { TARGET_FAULT_KINDS, type TargetFault, startTarget } from '../standin/index.js';

const { values } = parseArgs({
  options: {
    listen: { type: 'string', default: '127.0.0.1:0' },
    control: { type: 'string' },
    slots: { type: 'string', default: '6' },
    'service-time': { type: 'string', default: '20' },
    seed: { type: 'string', default: '1' },
  },
});

const address = parseAddress(values.listen);
if (address === undefined) {
  process.stderr.write(`--listen ${values.listen}; expected an address a.b.c.d:port\n`);
  process.exit(2);
}
const target = await startTarget({
  address,
  slots: Number(values.slots),
  serviceTime: Number(values['service-time']),
  queueLimit: Number(values.slots) * 4,
  random: createSeededRandom(Number(values.seed)),
});

/** Sets the fault with `PUT /fault`, answers counts and runs with `GET /counts`. */
const control = http.createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    if (request.method === 'PUT') {
      const fault = JSON.parse(Buffer.concat(chunks).toString('utf8')) as TargetFault;
      const known = TARGET_FAULT_KINDS.includes(fault.kind);
      if (known) target.setFault(fault);
      response.writeHead(known ? 204 : 400).end();
      return;
    }
    response.end(JSON.stringify({ ...target.counts, runs: Object.fromEntries(target.runs) }));
  });
});
const controlAddress = parseAddress(values.control ?? '');
if (controlAddress !== undefined) control.listen(controlAddress.port, controlAddress.host);
process.stdout.write(`listening ${formatAddress(target.address)}\n`);
process.on('SIGTERM', () => process.exit(0));
