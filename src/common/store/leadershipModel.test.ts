import { describe, it, mock } from 'node:test'
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { Journal } from './Journal.js'
import { Leadership } from './Leadership.js'
import { FaultyStoreClient } from './test/FaultyStoreClient.js'
import { MemoryStore } from './test/MemoryStore.js'

const ENTRIES = 3
const TICK_MS = 10
const ORDER_INTERVAL_TICKS = 5
const ORDERS_TOPIC = 'orders'
const SETTLE_MS = 6000
/** Below the time-out of a renewal. */
const SLOW_RESPONSE_MS = 300
const NUM_RUNS = 60
const { logger } = testServices()

type Fault = ConstructorParameters<typeof FaultyStoreClient>[1] extends () => infer F ? F : never

const delayArbitrary = fc.constantFrom(0, 0, 0, 0, 5, 40, 200, 600, 1000, 1500)
const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  requestDelayMs: delayArbitrary,
  responseDelayMs: delayArbitrary,
  isResponseLost: fc.constantFrom(false, false, false, false, true)
})
type Step = typeof stepArbitrary extends fc.Arbitrary<infer S> ? S : never

const stepArbitrary = fc.record({
  kind: fc.constantFrom('cut off' as const, 'reconnect', 'slow responses', 'restart', 'release', 'suspend'),
  /** Index of the entry; the leader if there is no such entry. */
  entry: fc.nat(2 * ENTRIES),
  durationMs: fc.integer({ min: 20, max: 2000 })
})

/** The leader learns late of its last renewal, and the others at once. */
const LATE_RENEWAL: [Fault[], Step[], number] = [
  [{ requestDelayMs: 0, responseDelayMs: 0, isResponseLost: false }],
  [{ kind: 'slow responses', entry: ENTRIES, durationMs: 1000 }, { kind: 'cut off', entry: ENTRIES, durationMs: 2000 }],
  1
]

/** One entry that writes an order at a fixed interval while it leads. */
class OrderingEntry {
  readonly client: FaultyStoreClient
  leadership: Leadership
  private _journal?: Journal
  private _incarnation = 0

  constructor (store: MemoryStore, nextFault: () => Fault, private readonly _name: string, private readonly _orders: string[]) {
    this.client = new FaultyStoreClient(store, nextFault)
    this.leadership = this._start()
  }

  restart (): void {
    this.leadership.dispose()
    this._journal = undefined
    this.leadership = this._start()
  }

  /** Writes an order if this entry leads. */
  order (): void {
    const epoch = this.leadership.validEpoch()
    if (epoch === undefined || this._journal === undefined) return
    const id = `${epoch}/${this._name}/${this._incarnation}/${this._orders.length}`
    this._orders.push(id)
    this._journal.append([{ key: id, value: new TextEncoder().encode('1') }]).catch(() => undefined)
  }

  private _start (): Leadership {
    this._incarnation += 1
    const leadership = new Leadership(this.client, `${this._name}#${this._incarnation}`, `10.0.0.1:${this._name}`, logger)
    leadership.onGained(epoch => {
      const journal = new Journal(this.client, ORDERS_TOPIC, 'leader', epoch, logger)
      this._journal = journal
      journal.open().catch(() => undefined)
    })
    leadership.onLost(() => {
      this._journal = undefined
    })
    leadership.start()
    return leadership
  }
}

describe('leadership under all interleavings that the model draws', () => {
  it('is held by one entry at a time, and orders are stored once and in order of epochs', async () => {
    await fc.assert(fc.asyncProperty(fc.array(faultArbitrary, { minLength: 1, maxLength: 80 }), fc.array(stepArbitrary, { minLength: 1, maxLength: 8 }), fc.integer(), async (faults, steps, seed) => {
      const time = new VirtualTime()
      const generator = xoroshiro128plus(seed)
      // Jitter and back-off are drawn with the seed, so that a counterexample repeats.
      mock.method(Math, 'random', () => uniformFloat64(generator))
      const store = new MemoryStore()
      let calls = 0
      let isFaulty = true
      const nextFault = (): Fault => isFaulty ? faults[calls++ % faults.length] as Fault : { requestDelayMs: 0, responseDelayMs: 0, isResponseLost: false }
      const orders: string[] = []
      const entries = Array.from({ length: ENTRIES }, (_, index) => new OrderingEntry(store, nextFault, `e${index}`, orders))
      let ticks = 0
      const advance = async (durationMs: number): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
          await time.advance(TICK_MS, TICK_MS)
          const leading = entries.filter(entry => entry.leadership.validEpoch() !== undefined)
          if (leading.length > 1) throw new Error(`two leaders, of the epochs ${leading.map(entry => entry.leadership.validEpoch()).join(' and ')}`)
          if (++ticks % ORDER_INTERVAL_TICKS === 0) for (const entry of entries) entry.order()
        }
      }
      try {
        for (const { kind, entry, durationMs } of steps) {
          const target = entries[entry] ?? entries.find(item => item.leadership.isLeader) ?? entries[0] as OrderingEntry
          if (kind === 'cut off') target.client.isCutOff = true
          else if (kind === 'reconnect') target.client.isCutOff = false
          else if (kind === 'slow responses') target.client.extraResponseDelayMs = SLOW_RESPONSE_MS
          else if (kind === 'restart') target.restart()
          else if (kind === 'release') target.leadership.release().catch(() => undefined)
          else time.pause(durationMs)
          await advance(durationMs)
        }
        isFaulty = false
        for (const entry of entries) {
          entry.client.isCutOff = false
          entry.client.extraResponseDelayMs = 0
          entry.restart()
        }
        await advance(SETTLE_MS)
        if (!entries.some(entry => entry.leadership.validEpoch() !== undefined)) throw new Error('no leader after the faults have ended')
        checkStoredOrders(await readKeys(store, time))
      } finally {
        for (const entry of entries) entry.leadership.dispose()
        time.restore()
      }
    }), { numRuns: NUM_RUNS, examples: [LATE_RENEWAL] })
  })
})

async function readKeys (store: MemoryStore, time: VirtualTime): Promise<string[]> {
  const slice = store.read(ORDERS_TOPIC, 0, 0)
  await time.advance(TICK_MS, TICK_MS)
  return (await slice)._unsafeUnwrap().records.map(record => record.key)
}

function checkStoredOrders (keys: string[]): void {
  if (new Set(keys).size !== keys.length) throw new Error(`an order is stored twice: ${keys.join(', ')}`)
  const holders = new Map<string, string>()
  let newestEpoch = -1
  for (const key of keys) {
    const [epoch = '', name = '', incarnation = ''] = key.split('/')
    if (Number(epoch) < newestEpoch) throw new Error(`an order of epoch ${epoch} is stored after one of ${newestEpoch}`)
    newestEpoch = Number(epoch)
    const holder = `${name}#${incarnation}`
    if ((holders.get(epoch) ?? holder) !== holder) throw new Error(`epoch ${epoch} has two holders`)
    holders.set(epoch, holder)
  }
}
