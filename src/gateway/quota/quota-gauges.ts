/** Gauges of the quotas, with a bounded number of series. */
import { QUOTA_REFUSALS, type QuotaAccount, type QuotaRefusal } from './quota-account.js';
import type { QuotaStatus } from './quota-service.js';

/** Organisations with series of their own. */
const MAX_LISTED = 32;

function countRefused(
  accounts: readonly QuotaAccount[],
  reasons: readonly QuotaRefusal[] = QUOTA_REFUSALS,
): number {
  let count = 0;
  for (const { refused } of accounts) for (const reason of reasons) count += refused[reason];
  return count;
}

/** Orders organisations by refused calls, then by use. */
function rankAccounts(accounts: readonly QuotaAccount[]): readonly QuotaAccount[] {
  return [...accounts].sort(
    (a, b) => countRefused([b]) - countRefused([a]) || b.usage - a.usage || b.rate - a.rate,
  );
}

function computeUsage(accounts: readonly QuotaAccount[]): number {
  return Number(accounts.reduce((sum, { usage }) => sum + usage, 0).toFixed(2));
}

/**
 * Lists the gauges: of the 32 organisations with most refused calls or the highest use, and the
 * sums of all others. Empty when no organisation has a limit.
 */
export function listQuotaGauges(status: QuotaStatus): Readonly<Record<string, number>> {
  if (status.accounts.length === 0) return {};
  const ranked = rankAccounts(status.accounts);
  const rest = ranked.slice(MAX_LISTED);
  const gauges: Record<string, number> = { quota_part: status.part };
  for (const account of ranked.slice(0, MAX_LISTED)) {
    const label = `organisation=${JSON.stringify(account.name)}`;
    gauges[`quota_rate{${label}}`] = account.rate;
    gauges[`quota_usage{${label}}`] = computeUsage([account]);
    for (const reason of QUOTA_REFUSALS) {
      gauges[`quota_refused{${label},reason="${reason}"}`] = account.refused[reason];
    }
  }
  if (rest.length === 0) return gauges;
  gauges.quota_rate_rest = rest.reduce((sum, { rate }) => sum + rate, 0);
  gauges.quota_usage_rest = computeUsage(rest);
  for (const reason of QUOTA_REFUSALS) {
    gauges[`quota_refused_rest{reason="${reason}"}`] = countRefused(rest, [reason]);
  }
  return gauges;
}
