import { expect } from 'chai';
import { decodeSelfReport, parseBackoff, parseDraining } from '../src/platform/index.js';

describe('the self-report of a target', () => {
  describe('in any answer', () => {
    for (const status of [200, 404, 500, 503]) {
      it(`is decoded the same way with status ${status}`, () => {
        const report = decodeSelfReport(status, {
          ...{ 'server-load': '1,2,4,150', 'server-limit': '2.5', 'server-leaving': '1' },
          ...{ 'warmup-ms': '700', 'instance-id': 'i-1', 'server-signature': 's' },
        });
        expect(report).to.deep.equal({
          load: { running: 1, waiting: 2, slots: 4, slowdown: 1.5 },
          ...{ rate: { kind: 'named', rate: 2.5 }, draining: { kind: 'draining' } },
          ...{ coldLeft: 700, backoff: { kind: 'silent' }, incarnation: 'i-1' },
          ...{ isRejected: false, isMisdirected: false, isSigned: true },
        });
      });
    }
    it('is empty when no header is sent', () => {
      expect(decodeSelfReport(200, {})).to.deep.equal({
        ...{ load: undefined, coldLeft: undefined, incarnation: undefined },
        ...{ rate: { kind: 'silent' }, draining: { kind: 'silent' }, backoff: { kind: 'silent' } },
        ...{ isRejected: false, isMisdirected: false, isSigned: false },
      });
    });
  });

  describe('of its draining', () => {
    for (const text of ['0', '', '1, 1', 'true', '01', '1.0']) {
      it(`is unreadable: ${JSON.stringify(text)}`, () => {
        expect(parseDraining(text)).to.deep.equal({ kind: 'unreadable', text });
      });
    }
  });

  describe('of the back-off it asks for', () => {
    for (const [text, time] of [
      ['3', 3000],
      ['0.25', 250],
      ['.5', 500],
      ['0', 0],
      ['7200', 7_200_000],
    ] as const) {
      it(`is parsed: ${text} s`, () => {
        expect(parseBackoff(text)).to.deep.equal({ kind: 'asked', time });
      });
    }
    for (const text of [
      '-1',
      'NaN',
      'Infinity',
      '0x10',
      '1e3',
      '',
      'soon',
      '3, 4',
      'Thu, 03 Dec',
    ]) {
      it(`is unreadable: ${JSON.stringify(text)}`, () => {
        expect(parseBackoff(text)).to.deep.equal({ kind: 'unreadable', text });
      });
    }
    it('is unreadable as a date, of which the beginning is reported', () => {
      expect(parseBackoff('Thu, 03 Dec 2026 10:00:00 GMT')).to.deep.equal({
        ...{ kind: 'unreadable', text: 'Thu, 03 Dec 2026 10:' },
      });
    });
    it('counts only in a rejection: other statuses ignore the header', () => {
      for (const status of [200, 301, 429, 500]) {
        const { backoff } = decodeSelfReport(status, { 'retry-after': '3' });
        expect(backoff).to.deep.equal({ kind: 'silent' });
      }
      const { backoff } = decodeSelfReport(503, { 'retry-after': '3' });
      expect(backoff).to.deep.equal({ kind: 'asked', time: 3000 });
    });
  });
});
