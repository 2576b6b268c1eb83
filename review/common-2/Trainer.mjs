import { createHash } from 'node:crypto'
import { BATCH_PREFIX, HOST, MODEL } from './Cluster.mjs'
import { send, sleep } from './client.mjs'

const STEP_INTERVAL_MS = 4000
/** The trainer's time budget for a step. */
const BUDGET_MS = 12_000
const READ_INTERVAL_MS = 500
const DEFAULT_RETRY_MS = 400
const WANTED_SHARE = 0.9
const TRAINING_MS = 500
const CALL_TIMEOUT_MS = 6000

/**
 * A trainer as the pages describe it: submits a step, reads results about twice a second at any entry, ends the batch
 * once it has the groups that it waits for or its time is over, and trains. Records what it sent and what it got.
 */
export class Trainer {
  steps = []
  _calls = 0

  /** `bodyOf(itemId)` returns the body of an item; `log` writes a line to the record. */
  constructor (name, cluster, { groups, groupSize, bodyOf, log }) {
    Object.assign(this, { name, _cluster: cluster, _groups: groups, _groupSize: groupSize, _bodyOf: bodyOf, _log: log })
  }

  /** Asks for steps at their times until `untilMs`. */
  async run (untilMs) {
    const startedAtMs = performance.now()
    for (let step = 0; performance.now() < untilMs; step++) {
      await sleep(Math.max(0, startedAtMs + step * STEP_INTERVAL_MS - performance.now()))
      if (performance.now() >= untilMs) return
      await this._runStep(step, untilMs)
      await sleep(TRAINING_MS)
    }
  }

  _address () {
    this._calls += 1
    const { entries } = this._cluster
    return entries[(this._calls + this.name) % entries.length].addresses.listen
  }

  async _runStep (number, untilMs) {
    const id = `${this.name}${number}`.padStart(4, '0').padEnd(16, 'c0de')
    const items = Array.from({ length: this._groups * this._groupSize }, (_, index) => ({
      id: `${id.slice(0, 12)}${index.toString(16).padStart(4, '0')}`,
      path: `${BATCH_PREFIX}${id}/${index}`,
      headers: { Model: MODEL, 'Token-Counts': '1016,2000', 'Prompt-Prefix': `${(Math.floor(index / this._groupSize) + 1).toString(16)}:1000` },
      body: this._bodyOf(index).toString('base64'),
      tokens: 3016,
      group: `g${number}-${Math.floor(index / this._groupSize)}`
    }))
    const body = JSON.stringify({ step: number, model: MODEL, min_version: 1, group_count: Math.floor(this._groups * WANTED_SHARE), items })
    const step = { id, number, items: items.length, itemIds: items.map(item => item.id), bodyBytes: Buffer.byteLength(body), statuses: [], isAccepted: false, results: [], changed: 0, startedAtMs: performance.now() }
    this.steps.push(step)
    const endMs = Math.min(untilMs, step.startedAtMs + BUDGET_MS)
    await this._submit(step, body, endMs)
    if (step.isAccepted) {
      while (performance.now() < endMs && step.results.length < items.length * WANTED_SHARE) {
        await this.readPage(step, step.results.length)
        await sleep(READ_INTERVAL_MS)
      }
      step.gaveUpAtMs = performance.now() >= step.startedAtMs + BUDGET_MS ? performance.now() : undefined
      await this._end(step)
    }
    this._log(`trainer ${this.name} step ${number} batch ${id}: ${step.bodyBytes} bytes, answers ${step.statuses.join(',')}, accepted ${step.isAccepted}, results ${step.results.length} of ${items.length} in ${Math.round(performance.now() - step.startedAtMs)} ms`)
  }

  async _submit (step, body, endMs) {
    while (!step.isAccepted && performance.now() < endMs) {
      const response = await send(this._address(), { method: 'POST', path: `${BATCH_PREFIX}${step.id}`, host: HOST, headers: { 'request-id': step.id, 'content-type': 'application/json' }, body, timeoutMs: CALL_TIMEOUT_MS })
      step.statuses.push(response.status)
      step.isAccepted = response.status === 202
      if (step.isAccepted) step.acceptedAtMs = performance.now()
      if (!step.isAccepted) await sleep(Math.max(DEFAULT_RETRY_MS, 1000 * Number(response.headers['retry-after'] ?? 0)))
    }
  }

  /** Reads results from a position on; returns the status and, with status 200, the next position. */
  async readPage (step, position) {
    const { status, body } = await send(this._address(), { path: `/api/lots/${step.id}?after=${position}`, host: HOST, headers: { 'wait-ms': '1000' }, timeoutMs: CALL_TIMEOUT_MS })
    if (status !== 200) return { status }
    const { results, next } = JSON.parse(body.toString())
    results.forEach((result, index) => {
      const digest = digestOf(result)
      const known = step.results[position + index]
      if (known === undefined) step.results[position + index] = digest
      else if (known !== digest) step.changed += 1
    })
    return { status, next }
  }

  async _end (step) {
    for (let attempt = 0; attempt < 4; attempt++) {
      const { status } = await send(this._address(), { method: 'DELETE', path: `/api/lots/${step.id}`, host: HOST, timeoutMs: CALL_TIMEOUT_MS })
      if (status === 200) return
      await sleep(DEFAULT_RETRY_MS)
    }
  }
}

function digestOf (result) {
  return createHash('sha256').update(JSON.stringify(result)).digest('base64')
}
