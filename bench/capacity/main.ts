import { cac } from 'cac'
import type { CapacityCase } from './CapacityCase.js'
import { measureCase } from './measureCase.js'

const BASE: CapacityCase = { name: 'base: 3 entries, 4 servers', entries: 3, upstreams: 4, ticketsPerS: 0, publicationsPerS: 0 }
const CASES: CapacityCase[] = [
  BASE,
  { ...BASE, name: '24 servers', upstreams: 24 },
  { ...BASE, name: '48 servers', upstreams: 48 },
  { ...BASE, name: '12 entries', entries: 12 },
  { ...BASE, name: '24 entries', entries: 24 },
  { ...BASE, name: '100 tickets/s elsewhere', ticketsPerS: 100 },
  { ...BASE, name: '2 contracts/s', publicationsPerS: 2 }
]

const { options } = cac('capacity').option('--seconds <n>', 'duration of the measurement per case in seconds', { default: 15 }).parse()
console.log('| Case | CPU ms/s | RSS MB | log B/s | list B/s | upstreams B/s | gossip sent B/s |')
console.log('|---|---|---|---|---|---|---|')
for (const capacityCase of CASES) {
  const result = await measureCase(capacityCase, Number(options['seconds']))
  const bytesPerS = [result.logBytesPerS, result.membershipBytesPerS, result.upstreamBytesPerS, result.gossipBytesPerS]
  console.log(`| ${result.name} | ${result.cpuMsPerS.toFixed(1)} | ${result.residentMb.toFixed(1)} | ${bytesPerS.map(rate => rate.toFixed(0)).join(' | ')} |`)
}
