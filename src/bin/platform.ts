/** The platform stand-in as a process: `--listen a.b.c.d:port`. */
import { parseArgs } from 'node:util';
import { createSystemClock, formatAddress, parseAddress } from '../kernel/index.js';
import { KvServer } from '../standin/index.js';

const { values } = parseArgs({ options: { listen: { type: 'string', default: '127.0.0.1:0' } } });
const address = parseAddress(values.listen);
if (address === undefined) {
  process.stderr.write(`--listen ${values.listen}; expected an address a.b.c.d:port\n`);
  process.exit(2);
}
const listening = await new KvServer(createSystemClock()).start(address);
process.stdout.write(`listening ${formatAddress(listening)}\n`);
process.on('SIGTERM', () => process.exit(0));
