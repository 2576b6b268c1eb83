import { setTimeout as sleep } from 'node:timers/promises'
import type { StandIn } from '../../tools/harness/StandIn.js'
import { waitUntil } from '../../tools/harness/waitUntil.js'
import type { FaultRecord } from '../checker/FaultRecord.js'
import type { LedgerRun } from '../checker/LedgerRun.js'
import type { Site } from './Site.js'

const READ_EVERY_MS = 500

/** Collects the ledgers of all upstreams and starts crashed engines again, whose ledgers are lost. */
export class LedgerReader {
  private readonly _runs = new Map<string, LedgerRun>()
  private _isOn = true

  constructor (private readonly _site: Site, private readonly _faults: FaultRecord[]) {}

  get runs (): LedgerRun[] {
    return [...this._runs.values()]
  }

  async run (): Promise<void> {
    await Promise.all([...this._site.cluster.upstreams.values()].map(async upstream => {
      while (this._isOn) {
        if (upstream.isRunning) await this._read(upstream).catch(() => {})
        else await this._restart(upstream)
        await sleep(READ_EVERY_MS)
      }
    }))
  }

  /** Ends the loop and reads every ledger once more. */
  async finish (): Promise<void> {
    this._isOn = false
    for (const upstream of this._site.cluster.upstreams.values()) await this._read(upstream)
  }

  private async _read (upstream: StandIn): Promise<void> {
    const { calls = [], requests = [], boot_id: boot } = await upstream.get('/ledger')
    const base = { upstream: upstream.name }
    calls.forEach((call: any, index: number) => {
      // Calls of a plain service are in order of their start, so the position is stable only per request.
      const run = { ...base, requestId: call.request_id, key: call.key, atMs: call.started_at_ms, hasStarted: true }
      this._runs.set(`${boot} ${call.request_id} ${call.key} ${call.count} ${call.key === '' ? index : ''}`, run)
    })
    requests.forEach((request: any, index: number) => {
      const run = { ...base, requestId: request.request_id, key: '', atMs: request.accepted_at_ms, hasStarted: request.started_at_ms !== undefined }
      this._runs.set(`${boot} ${index}`, run)
    })
  }

  private async _restart (upstream: StandIn): Promise<void> {
    const record = { kind: 'engine_down', target: upstream.name, fromMs: Date.now(), toMs: Infinity }
    this._faults.push(record)
    await waitUntil(`${upstream.name} starts`, async () => {
      if (!upstream.isRunning) await this._site.cluster.restart(upstream)
      return true
    })
    record.toMs = Date.now()
  }
}
