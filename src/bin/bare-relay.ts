/**
 * A relay with no decisions at all, from the same two HTTP libraries: the floor that the overhead
 * benchmark compares an entry with. `--targets a.b.c.d:port,…`; prints its address.
 */
import http from 'node:http';
import { parseArgs } from 'node:util';
import { Pool } from 'undici';

const { values } = parseArgs({ options: { targets: { type: 'string', default: '' } } });
const pools = values.targets
  .split(',')
  .map((target) => new Pool(`http://${target}`, { connections: 50, pipelining: 1 }));
let turn = 0;

const server = http.createServer((request, response) => {
  turn += 1;
  if (request.url === '/cpu') {
    const { user, system } = process.cpuUsage();
    response.end(String((user + system) / 1000));
    return;
  }
  const pool = pools[turn % pools.length];
  const { connection: _connection, ...headers } = request.headers;
  pool.stream(
    { method: request.method as 'GET', path: request.url ?? '/', headers },
    ({ statusCode, headers: answered }) => {
      const { connection: _dropped, 'keep-alive': _alive, ...rest } = answered;
      response.writeHead(statusCode, rest);
      return response;
    },
    (error) => {
      if (error !== null) response.destroy();
    },
  );
});
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as { readonly port: number };
  process.stdout.write(`127.0.0.1:${port}\n`);
});
