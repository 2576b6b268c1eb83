import { setTimeout as sleep } from 'node:timers/promises'
import { hash } from '../../standin/common/hash.js'
import { TokenSource } from '../../standin/engine/TokenSource.js'
import { tokenText } from '../../standin/engine/tokenText.js'
import type { Call } from '../checker/Call.js'
import type { EntryPool } from './EntryPool.js'
import { makeCall } from './makeCall.js'
import type { Site } from './Site.js'
import type { WorkItem } from './WorkItem.js'

const SERVICES = {
  'lin-shun': { plain: 'order-app', engine: 'shaping-llm' },
  almaskert: { plain: 'kapu', engine: 'mester' }
}
const LOOKUP_DEADLINE_MS = 2000
const TICKET_DEADLINE_MS = 6000
const STREAM_DEADLINE_MS = 8000
const ABANDON_AFTER_MS = 30
const RETRY_MS = 500
const POISON_CALLS = 4
// At 100 tokens/s these run beyond the drain notice of 1.5 s.
const STREAMS_AT_STOP = 3
const STOP_TOKENS = 350
const STOP_DELAY_MS = 200
// Every third call goes through the balancer.
const BALANCER_EVERY = 3

type Target = Pick<Call, 'entry'> & { address: string }

/** Makes the calls of a run. */
export class Workload {
  readonly calls: Call[] = []
  readonly unsettled: string[] = []
  private _ids = 0

  constructor (private readonly _seed: number, private readonly _site: Site, private readonly _pool: EntryPool) {
    _pool.beforeStop = async ({ name, listen }) => {
      for (let call = 0; call < STREAMS_AT_STOP; call++) {
        // Recorded like every call; settling comes long after its deadline.
        this._makeStream('lin-shun', STOP_TOKENS, '', { entry: name, address: listen }).catch(() => {})
      }
      await sleep(STOP_DELAY_MS)
    }
  }

  /** Makes all calls; tickets without a final answer are repeated until the given time after the start. */
  async run (items: WorkItem[], settleMs: number): Promise<void> {
    const startMs = performance.now()
    await Promise.all(items.map(async item => {
      await sleep(Math.max(0, startMs + item.atMs - performance.now()))
      if (item.kind === 'lookup') await this._lookup(item, this._target(item.via))
      else if (item.kind === 'ticket') await this._ticket(item, startMs + settleMs)
      else await this._stream(item)
    }))
  }

  /**
   * After the run, every entry must answer a lookup of each organisation and a stream. Refused probes are
   * repeated until the given time has passed, so that a busy machine alone is no violation.
   */
  async probe (settleMs: number): Promise<void> {
    const endMs = performance.now() + settleMs
    const probes = this._site.cluster.entries.flatMap(({ name, listen }) => (['lin-shun', 'almaskert'] as const).flatMap(organisation => {
      const target = { entry: name, address: listen }
      return [
        this._untilAnswered(endMs, async () => await this._lookup({ organisation }, target)),
        this._untilAnswered(endMs, async () => await this._makeStream(organisation, 4, '', target))
      ]
    }))
    for (const call of await Promise.all(probes)) {
      if (call.end !== 'answered') this.unsettled.push(`probe ${JSON.stringify(call)}`)
    }
  }

  private async _untilAnswered (endMs: number, send: () => Promise<Call>): Promise<Call> {
    for (;;) {
      const call = await send()
      if (call.end === 'answered' || performance.now() > endMs) return call
      await sleep(RETRY_MS)
    }
  }

  private async _lookup ({ organisation }: Pick<WorkItem, 'organisation'>, target: Target): Promise<Call> {
    const service = SERVICES[organisation].plain
    const id = this._id()
    return await this._make({
      ...target, id, kind: 'lookup', organisation, service, expected: id, deadlineMs: LOOKUP_DEADLINE_MS, method: 'GET', path: `/v1/services/${service}/orders/${id}`
    })
  }

  private async _ticket (item: WorkItem, endMs: number): Promise<void> {
    const key = `key-${this._seed}-${this._id()}`
    const first = this._send(item, key, item.via, item.isAbandoned ? ABANDON_AFTER_MS : undefined)
    await sleep(item.repeatAfterMs)
    const both = await Promise.all([first, this._send(item, key, item.via2)])
    for (let via = item.via2 + 1; !both.some(isFinal); via++) {
      if (performance.now() > endMs) {
        this.unsettled.push(`ticket ${key}`)
        return
      }
      await sleep(RETRY_MS)
      both.push(await this._send(item, key, via))
    }
  }

  private async _send ({ organisation }: WorkItem, key: string, via: number, abandonAfterMs?: number): Promise<Call> {
    const service = SERVICES[organisation].plain
    const body = JSON.stringify({ ticket: key })
    return await this._make({
      ...this._target(via),
      id: this._id(),
      kind: 'ticket',
      organisation,
      service,
      key,
      body,
      expected: hash.toHex(body),
      deadlineMs: TICKET_DEADLINE_MS,
      method: 'POST',
      path: `/v1/services/${service}/tickets`,
      abandonAfterMs
    })
  }

  private async _stream (item: WorkItem): Promise<void> {
    const isPoison = item.kind === 'poison'
    const mark = isPoison ? ` crash-engine ${this._id()}` : ''
    for (let call = 0; call < (isPoison ? POISON_CALLS : 1); call++) {
      await this._makeStream(item.organisation, item.tokens, mark, this._target(item.via + call), item.isAbandoned ? item.repeatAfterMs : undefined)
    }
  }

  private async _makeStream (organisation: WorkItem['organisation'], tokens: number, mark: string, target: Target, abandonAfterMs?: number): Promise<Call> {
    const service = SERVICES[organisation].engine
    const id = this._id()
    // A repeated poison request must be the same request to be recognized.
    const prompt = mark === '' ? `request ${id} len=${tokens}` : `len=${tokens}${mark}`
    const source = new TokenSource(prompt, service, 0)
    return await this._make({
      ...target,
      id,
      kind: 'stream',
      organisation,
      service,
      expected: Array.from({ length: tokens }, (_, index) => tokenText(source.tokenAt(0, index))).join(''),
      deadlineMs: STREAM_DEADLINE_MS,
      method: 'POST',
      path: '/v1/completions',
      body: JSON.stringify({ model: service, prompt, max_tokens: 512, stream: true }),
      abandonAfterMs
    })
  }

  private async _make (plan: Parameters<typeof makeCall>[0]): Promise<Call> {
    const call = await makeCall(plan)
    this.calls.push(call)
    return call
  }

  private _target (via: number): Target {
    const { open } = this._pool
    const entry = open[Math.floor(via / BALANCER_EVERY) % Math.max(1, open.length)]
    if (entry === undefined || via % BALANCER_EVERY === 0) return { entry: 'balancer', address: this._site.front }
    return { entry: entry.name, address: entry.listen }
  }

  private _id (): string {
    this._ids++
    return `c${this._ids}`
  }
}

/** An answer, or the statement that the outcome will stay unknown. */
function isFinal (call: Call): boolean {
  return call.end === 'answered' || (call.end === 'refused' && call.outcome !== 'not_run')
}
