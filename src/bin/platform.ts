/** The platform stand-in as a process: `--listen a.b.c.d:port`. */
import { parseArgs } from 'node:util';
import { createSystemClock, formatAddress, parseAddress } from '../kernel/index.js';
import { startPlatformServer } from '../standin/index.js';

const { values } = parseArgs({ options: { listen: { type: 'string', default: '127.0.0.1:0' } } });
const address = parseAddress(values.listen);
if (address === undefined) {
  process.stderr.write(`--listen ${values.listen}; expected an address a.b.c.d:port\n`);
  process.exit(2);
}
const server = await startPlatformServer(address, createSystemClock());
process.stdout.write(`listening ${formatAddress(server.address)}\n`);
process.on('SIGTERM', () => process.exit(0));
