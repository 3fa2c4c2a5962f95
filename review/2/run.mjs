// Workers garble the status of some answers; see claim.txt.
import { Site, Worker, judgeLost, now, record, runCase, runClients } from '../kit.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** The disruption, in seconds from the start of the traffic: garble. */
const GARBLE = { from: 4, until: 9, share: 0.5, x: 0.02 };
const LENGTH_S = 14;

const WORKERS = 8;

const site = new Site();
await site.start(3);
site.configure([{ name: 'balance', kind: 'safe', service: 'ledger-core' }], ['ledger-core']);

const traffic = { from: Infinity };

function isInTrouble() {
  const time = now() - traffic.from;
  return HAS_TROUBLE && time >= GARBLE.from && time <= GARBLE.until;
}

/** A worker that garbles one answer in fifty during the disruption, if it is not sound. */
class LedgerWorker extends Worker {
  constructor(index) {
    const zone = site.zones[index % 3];
    super({ id: `i-${index}`, service: 'ledger-core', zone, slots: 6 });
    this.isSound = index >= WORKERS * GARBLE.share;
    this.answers = 0;
  }

  sendAnswer(request, response, body) {
    if (this.isSound || !isInTrouble()) {
      super.sendAnswer(request, response, body);
      return;
    }
    this.answers += 1;
    if (this.answers % Math.round(1 / GARBLE.x) !== 0) {
      super.sendAnswer(request, response, body);
      return;
    }
    const attempt = request.headers['attempt-id'];
    record(`worker ${this.id}: garbles its answer to ${attempt}`);
    // The first two digits of the status are swapped: no answer of HTTP has the status 020.
    const head = [
      ...['HTTP/1.1 020 OK', `Attempt-Id: ${attempt}`, `Server-Signature: ${this.id}`],
      ...[`Server-Load: ${this.load}`, `Content-Length: ${body.length}`],
    ];
    request.socket.write(Buffer.concat([Buffer.from(`${head.join('\r\n')}\r\n\r\n`), body]));
  }
}

for (let index = 0; index < WORKERS; index += 1) {
  site.addWorker(await new LedgerWorker(index).start());
}

await runCase(site, {
  rule: 'LOST',
  folder: import.meta.url,
  play: async () => {
    traffic.from = now();
    const results = await runClients(site, {
      ...{ count: 36, end: traffic.from + LENGTH_S, pause: 120 },
      send: (client) => client.send('/balance/journal'),
    });
    return judgeLost(site, results);
  },
});
