import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { checkGatewaySettings } from '../src/gateway/index.js';
import { formatMistake } from '../src/settings/index.js';

/** The values that the platform fills into the template. */
const TEMPLATE_FIELDS: Readonly<Record<string, string>> = {
  node: 'front-bp-angyal-1',
  ip: '10.1.0.35',
  zone: 'bp-angyal',
  region: 'hu-central',
  'listen.front': '10.1.0.35:8144',
  'listen.ready': '10.1.0.35:8140',
  'listen.directory': '10.1.0.35:8143',
  internal_port_range: '7660,7675',
  seeds: '10.1.0.35:8146,10.2.0.28:8146',
  'limits.cpu_share': '0.54',
  'limits.cpu_cores': '1',
  'platform.address': '10.200.1.7:8142',
  'bounds.grace_s': '6',
  'bounds.ttl_max_s': '5',
  'bounds.retry_budget_ratio': '0.2',
  'bounds.budget_window_s': '10',
  'bounds.budget_slack': '64',
  'bounds.probes_per_s': '60',
  'bounds.config_apply_ms': '2500',
  'bounds.drain_ms': '3000',
  'bounds.warmup_overshoot': '1.5',
  'bounds.warmup_slack': '8',
};

const ZONES = { 'bp-angyal': 'hu-central', 'vac-hall': 'hu-east' };

function writeSettings(fields: Readonly<Record<string, string>>): string {
  const template = readFileSync('deploy/gateway.ini', 'utf8');
  const listed = template.replace(/\{\{#zones\}\}(.*?)\{\{\/zones\}\}/s, (_part, text: string) =>
    Object.entries(ZONES)
      .map(([zone, region]) => text.replace('{{@}}', zone).replace('{{.}}', region))
      .map((part, index, parts) => part.replace('{{,}}', index < parts.length - 1 ? ',' : ''))
      .join(''),
  );
  const chosen = listed.replace(
    /\{\{([#^])([\w.]+)\}\}(.*?)\{\{\/\2\}\}/gs,
    (_part, mark: string, name: string, text: string) =>
      ((fields[name] ?? 'false') !== 'false') === (mark === '#')
        ? text.replace('{{.}}', fields[name] ?? '')
        : '',
  );
  return chosen.replace(/\{\{([\w.]+)\}\}/g, (_gap, name: string) => fields[name] ?? '');
}

describe('the settings of a gateway', () => {
  it("are parsed from the platform's template with its fields filled in", () => {
    const settings = checkGatewaySettings(
      'gateway.ini',
      writeSettings(TEMPLATE_FIELDS),
    ).unsafeCoerce();
    expect(settings.gateway.callers).to.deep.equal({ host: '10.1.0.35', port: 8144 });
    expect(settings.gateway.peer_ports).to.deep.equal([7660, 7675]);
    expect(settings.gateway.seeds).to.have.length(2);
    expect(settings.gateway.first_start).to.equal('false');
    expect(settings.promises).to.include({ grace: 6, answer_ttl: 5, retry_slack: 64 });
    expect(settings.promises).to.include({ cold_overshoot: 1.5, cold_slack: 8 });
    expect(settings.promises).to.include({ config_apply: 2500, drain: 3000 });
    expect(settings.gateway.domains).to.deep.equal([
      { domain: 'bp-angyal', region: 'hu-central' },
      { domain: 'vac-hall', region: 'hu-east' },
    ]);
    expect(settings.machine.cpu_share).to.equal(0.54);
    expect(settings.tuning.probe_interval).to.equal(100);
  });
  it('say whether the whole system starts for the first time', () => {
    const text = writeSettings({ ...TEMPLATE_FIELDS, bootstrap: 'true' });
    const settings = checkGatewaySettings('gateway.ini', text).unsafeCoerce();
    expect(settings.gateway.first_start).to.equal('true');
  });
  it('default to no overshoot and no slack for cold targets', () => {
    const {
      'bounds.warmup_overshoot': overshoot,
      'bounds.warmup_slack': slack,
      ...rest
    } = TEMPLATE_FIELDS;
    expect([overshoot, slack]).to.deep.equal(['1.5', '8']);
    const settings = checkGatewaySettings('gateway.ini', writeSettings(rest)).unsafeCoerce();
    expect(settings.promises).to.include({ cold_overshoot: 1, cold_slack: 0 });
  });
  it('default to two seconds for a configuration or a drain to be in force', () => {
    const { 'bounds.config_apply_ms': apply, 'bounds.drain_ms': drain, ...rest } = TEMPLATE_FIELDS;
    expect([apply, drain]).to.deep.equal(['2500', '3000']);
    const settings = checkGatewaySettings('gateway.ini', writeSettings(rest)).unsafeCoerce();
    expect(settings.promises).to.include({ config_apply: 2000, drain: 2000 });
  });
  it('may have no seeds', () => {
    const text = writeSettings({ ...TEMPLATE_FIELDS, seeds: '' });
    const settings = checkGatewaySettings('gateway.ini', text).unsafeCoerce();
    expect(settings.gateway.seeds).to.deep.equal([]);
  });
  for (const [what, from, to, message] of [
    [
      'an address',
      'callers = 10.1.0.35:8144',
      'callers = here',
      'gateway.ini:7: [gateway] callers',
    ],
    ['a number', 'grace = 6', 'grace = soon', '[promises] grace = "soon"; expected a whole number'],
    ['a misspelt key', 'grace = 6', 'grase = 6', 'unknown key "grase" in [promises]'],
    [
      'an unknown section',
      '[machine]',
      '[machines]',
      'unknown section [machines]; expected "machine"',
    ],
  ] as const) {
    it(`report where ${what} is wrong, and what was expected`, () => {
      const text = writeSettings(TEMPLATE_FIELDS).replace(from, to);
      const mistakes = checkGatewaySettings('gateway.ini', text).swap().unsafeCoerce();
      expect(mistakes.map(formatMistake).join('\n')).to.include(message);
    });
  }
});
