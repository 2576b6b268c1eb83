import { setTimeout as sleep } from 'node:timers/promises'
import { hash } from '../../standin/common/hash.js'
import { TokenSource } from '../../standin/engine/TokenSource.js'
import { tokenText } from '../../standin/engine/tokenText.js'
import type { Call } from '../checker/Call.js'
import type { EntryPool } from './EntryPool.js'
import { makeCall } from './makeCall.js'
import type { ChaosEnvironment } from './ChaosEnvironment.js'
import type { PlannedWork } from './PlannedWork.js'

const SERVICES = {
  'lin-shun': { plain: 'order-app', engine: 'shaping-llm' },
  almaskert: { plain: 'kapu', engine: 'mester' }
}
const LOOKUP_DEADLINE_MS = 2000
const TICKET_DEADLINE_MS = 6000
const STREAM_DEADLINE_MS = 8000
const ABANDON_AFTER_MS = 30
const RETRY_DELAY_MS = 500
const CALLS_PER_POISON_REQUEST = 4
// At 100 tokens/s these streams last 3.5 s, longer than the drain notice of 1.5 s.
const STREAMS_BEFORE_STOP = 3
const TOKENS_BEFORE_STOP = 350
const STOP_DELAY_MS = 200
// On average, one call in this number goes through the balancer.
const BALANCER_CALL_INTERVAL = 3

type Target = Pick<Call, 'entry'> & { address: string }

/** Makes the calls of a run and records them. */
export class Workload {
  readonly calls: Call[] = []
  readonly unsettled: string[] = []
  private _idCount = 0

  constructor (private readonly _seed: number, private readonly _environment: ChaosEnvironment, private readonly _pool: EntryPool) {
    _pool.beforeStop = async ({ name, listen }) => {
      for (let call = 0; call < STREAMS_BEFORE_STOP; call++) {
        // Not awaited: the call is recorded like every other, and the run ends long after its deadline.
        this._makeStream('lin-shun', TOKENS_BEFORE_STOP, '', { entry: name, address: listen }).catch(() => {})
      }
      await sleep(STOP_DELAY_MS)
    }
  }

  /** Makes all calls. Tickets without a final response are retried until `timeoutMs` after the start. */
  async run (plannedWork: PlannedWork[], timeoutMs: number): Promise<void> {
    const startMs = performance.now()
    await Promise.all(plannedWork.map(async work => {
      await sleep(Math.max(0, startMs + work.atMs - performance.now()))
      if (work.kind === 'lookup') await this._makeLookup(work, this._chooseTarget(work.entryChoice))
      else if (work.kind === 'ticket') await this._completeTicket(work, startMs + timeoutMs)
      else await this._makeStreams(work)
    }))
  }

  /**
   * Checks after the run that every entry answers a lookup and a stream for each organisation. Failed probes are
   * retried until `timeoutMs` has passed, so that a busy host alone causes no violation.
   */
  async probe (timeoutMs: number): Promise<void> {
    const endMs = performance.now() + timeoutMs
    const probes = this._environment.cluster.entries.flatMap(({ name, listen }) => (['lin-shun', 'almaskert'] as const).flatMap(organisation => {
      const target = { entry: name, address: listen }
      return [
        this._retryUntilAnswered(endMs, async () => await this._makeLookup({ organisation }, target)),
        this._retryUntilAnswered(endMs, async () => await this._makeStream(organisation, 4, '', target))
      ]
    }))
    for (const call of await Promise.all(probes)) {
      if (call.end !== 'answered') this.unsettled.push(`probe ${JSON.stringify(call)}`)
    }
  }

  private async _retryUntilAnswered (endMs: number, send: () => Promise<Call>): Promise<Call> {
    for (;;) {
      const call = await send()
      if (call.end === 'answered' || performance.now() > endMs) return call
      await sleep(RETRY_DELAY_MS)
    }
  }

  private async _makeLookup ({ organisation }: Pick<PlannedWork, 'organisation'>, target: Target): Promise<Call> {
    const service = SERVICES[organisation].plain
    const id = this._createId()
    return await this._recordCall({
      ...target, id, kind: 'lookup', organisation, service, expected: id, deadlineMs: LOOKUP_DEADLINE_MS, method: 'GET', path: `/v1/services/${service}/orders/${id}`
    })
  }

  private async _completeTicket (work: PlannedWork, endMs: number): Promise<void> {
    const key = `key-${this._seed}-${this._createId()}`
    const first = this._sendTicket(work, key, work.entryChoice, work.isAbandoned ? ABANDON_AFTER_MS : undefined)
    await sleep(work.repeatAfterMs)
    const calls = await Promise.all([first, this._sendTicket(work, key, work.repeatEntryChoice)])
    for (let entryChoice = work.repeatEntryChoice + 1; !calls.some(isFinalResponse); entryChoice++) {
      if (performance.now() > endMs) {
        this.unsettled.push(`ticket ${key}`)
        return
      }
      await sleep(RETRY_DELAY_MS)
      calls.push(await this._sendTicket(work, key, entryChoice))
    }
  }

  private async _sendTicket ({ organisation }: PlannedWork, key: string, entryChoice: number, abandonAfterMs?: number): Promise<Call> {
    const service = SERVICES[organisation].plain
    const body = JSON.stringify({ ticket: key })
    return await this._recordCall({
      ...this._chooseTarget(entryChoice),
      id: this._createId(),
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

  private async _makeStreams (work: PlannedWork): Promise<void> {
    const isPoison = work.kind === 'poison'
    const poisonMark = isPoison ? ` crash-engine ${this._createId()}` : ''
    for (let call = 0; call < (isPoison ? CALLS_PER_POISON_REQUEST : 1); call++) {
      await this._makeStream(work.organisation, work.tokens, poisonMark, this._chooseTarget(work.entryChoice + call), work.isAbandoned ? work.repeatAfterMs : undefined)
    }
  }

  private async _makeStream (organisation: PlannedWork['organisation'], tokens: number, poisonMark: string, target: Target, abandonAfterMs?: number): Promise<Call> {
    const service = SERVICES[organisation].engine
    const id = this._createId()
    // Entries recognise a repeated poison request only if it is identical.
    const prompt = poisonMark === '' ? `request ${id} len=${tokens}` : `len=${tokens}${poisonMark}`
    const source = new TokenSource(prompt, service, 0)
    return await this._recordCall({
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

  private async _recordCall (plan: Parameters<typeof makeCall>[0]): Promise<Call> {
    const call = await makeCall(plan)
    this.calls.push(call)
    return call
  }

  private _chooseTarget (entryChoice: number): Target {
    const { available } = this._pool
    const entry = available[Math.floor(entryChoice / BALANCER_CALL_INTERVAL) % Math.max(1, available.length)]
    if (entry === undefined || entryChoice % BALANCER_CALL_INTERVAL === 0) return { entry: 'balancer', address: this._environment.balancerAddress }
    return { entry: entry.name, address: entry.listen }
  }

  private _createId (): string {
    this._idCount++
    return `c${this._idCount}`
  }
}

/** True for a complete response, or for a refusal which states that the outcome remains unknown. */
function isFinalResponse (call: Call): boolean {
  return call.end === 'answered' || (call.end === 'refused' && call.outcome !== 'not_run')
}
