import type { History } from '../History.js'

const call = { entry: 'entry-1', organisation: 'lin-shun', startedAtMs: 1000, endedAtMs: 1100, deadlineMs: 2000, status: 200 }
const origin = [{ from: 0, to: 2, version: 3, kv_version: 3 }, { from: 2, to: 3, version: 4, kv_version: 3 }]
const tokens = [3001, 3002, 4001]
const group = {
  step: 0,
  position: 7,
  read: 0,
  address: '127.0.0.1:1',
  received_at_ms: 1000,
  version_known: 5,
  cursor_before: -1,
  cursor_after: 7
}
const createSamples = () => [0, 1].map(index => ({ index, attempt: 0, text: '3001 3002 4001 ', token_ids: tokens, origin: structuredClone(origin) }))

/** Creates a history without violations: a lookup, a ticket sent twice, a refused lookup, a stream and a step of two groups. */
export function createHistory (): History {
  return {
    calls: [
      { ...call, id: 'c1', kind: 'lookup', service: 'order-app', expected: 'c1', content: 'c1', end: 'answered' },
      { ...call, id: 'c2', kind: 'ticket', service: 'order-app', key: 'k', expected: 't', content: 't', end: 'answered' },
      { ...call, id: 'c3', kind: 'ticket', service: 'order-app', key: 'k', expected: 't', content: 't', end: 'answered', entry: 'entry-2' },
      { ...call, id: 'c4', kind: 'lookup', service: 'order-app', expected: 'c4', content: '', end: 'refused', status: 503, outcome: 'not_run' },
      { ...call, id: 'c5', kind: 'stream', service: 'shaping-llm', expected: '1 2 ', content: '1 2 ', end: 'answered', entry: 'balancer' }
    ],
    runs: [
      { upstream: 'order-app-1', requestId: 'c1', key: '', atMs: 1050, hasStarted: true },
      { upstream: 'order-app-1', requestId: 'c2', key: 'k', atMs: 1060, hasStarted: true },
      { upstream: 'shaping-llm-1', requestId: 'c5.1', key: '', atMs: 1070, hasStarted: true }
    ],
    trainers: [{
      trainer: 'brim',
      bound: 2,
      groupsPerStep: 2,
      samplesPerGroup: 2,
      stepsDone: 1,
      received: [{ ...group, group: 's0-g0', samples: createSamples() }, { ...group, group: 's0-g1', samples: createSamples() }]
    }],
    publications: [{ organisation: 'lin-shun', operator: 'mei', entry: 'entry-1', base: 1, text: 'two', startedAtMs: 1000, endedAtMs: 1100, revision: 2 }],
    views: [
      { entry: 'entry-1', organisation: 'lin-shun', revision: 1, text: 'one', atMs: 900, isFinal: false },
      { entry: 'entry-1', organisation: 'lin-shun', revision: 2, text: 'two', atMs: 1200, isFinal: true }
    ],
    marks: [{ upstream: 'order-app-1', fromMs: 2000, toMs: 20_000 }],
    stops: [{ entry: 'entry-2', fromMs: 1000, exitedAtMs: 3000, exitCode: 0 }],
    faults: [],
    unsettled: []
  }
}
