import { ClaimFold } from '../../src/common/claim/ClaimFold.js'
import { UpstreamTable } from '../../src/common/upstream/UpstreamTable.js'
import type { ILogger } from '../../src/common/metrics/ILogger.js'
import type { IMetrics } from '../../src/common/metrics/IMetrics.js'

const CLAIM_COUNT = 50_000
const UPSTREAM_COUNT = 5_000
const BYTES_PER_KB = 1024
const BYTES_PER_MB = BYTES_PER_KB * BYTES_PER_KB

if (globalThis.gc === undefined) throw new Error('this script needs node --expose-gc')

const logger: ILogger = { info () {}, warn () {}, error () {}, debug () {} }
const metrics: IMetrics = { count () {}, gauge () {}, duration () {} }
const processMb = process.memoryUsage().rss / BYTES_PER_MB
await import('../../src/index.js')
const importedMb = process.memoryUsage().rss / BYTES_PER_MB

const fold = new ClaimFold(() => 3_600_000, { onWon () {}, onSettled () {} }, logger)
const bytesPerClaim = measureRetainedBytes(CLAIM_COUNT, index => {
  const fields = { organisation: 'lin-shun', service: 'order-app', key: `ticket-${index}` }
  const claim = { type: 'claim', id: `p:${index}`, ...fields, body_sha256: 'a'.repeat(64), entry: 'entry-1', at_ms: Date.now() }
  const answer = { status: 200, headers: { 'content-type': 'application/json' }, body_base64: 'e'.repeat(80), body_omitted: false }
  fold.apply({ offset: index * 2, timeMs: Date.now(), value: claim })
  fold.apply({ offset: index * 2 + 1, timeMs: Date.now(), value: { type: 'result', id: `r:${index}`, ...fields, claim_id: `p:${index}`, answer } })
})
const table = new UpstreamTable(logger, metrics)
const members = Array.from({ length: UPSTREAM_COUNT }, (_, index) => ({
  id: `server-${index}`,
  role: 'upstream' as const,
  service: 'order-app',
  address: `127.0.0.1:${10_000 + index}`,
  failure_domain: 'steam-hall',
  state: 'live' as const,
  incarnation: `run-${index}`
}))
const bytesPerUpstream = measureRetainedBytes(1, () => table.updateMembers(members)) / UPSTREAM_COUNT

console.log(`process ${processMb.toFixed(1)} MB, with the library imported ${importedMb.toFixed(1)} MB`)
console.log(`remembered ticket with its answer ${(bytesPerClaim / BYTES_PER_KB).toFixed(2)} KB, upstream ${(bytesPerUpstream / BYTES_PER_KB).toFixed(2)} KB`)

/** Heap bytes that one call of `add` retains, on average over `count` calls. */
function measureRetainedBytes (count: number, add: (index: number) => void): number {
  globalThis.gc!()
  const bytesBefore = process.memoryUsage().heapUsed
  for (let index = 0; index < count; index++) add(index)
  globalThis.gc!()
  return (process.memoryUsage().heapUsed - bytesBefore) / count
}
