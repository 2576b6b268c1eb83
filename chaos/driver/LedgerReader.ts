import { setTimeout as sleep } from 'node:timers/promises'
import type { StandIn } from '../../tools/harness/StandIn.js'
import { waitUntil } from '../../tools/harness/waitUntil.js'
import type { FaultRecord } from '../checker/FaultRecord.js'
import type { LedgerRun } from '../checker/LedgerRun.js'
import type { ChaosEnvironment } from './ChaosEnvironment.js'

const READ_INTERVAL_MS = 500

/** Collects the ledgers of all upstreams and restarts crashed engines. A crash loses the runs that the engine recorded since the last read. */
export class LedgerReader {
  private readonly _runs = new Map<string, LedgerRun>()
  private _isRunning = true

  constructor (private readonly _environment: ChaosEnvironment, private readonly _faults: FaultRecord[]) {}

  get runs (): LedgerRun[] {
    return [...this._runs.values()]
  }

  async run (): Promise<void> {
    await Promise.all([...this._environment.cluster.upstreams.values()].map(async upstream => {
      while (this._isRunning) {
        if (upstream.isRunning) await this._readLedger(upstream).catch(() => {})
        else await this._restart(upstream)
        await sleep(READ_INTERVAL_MS)
      }
    }))
  }

  /** Stops the loop and reads every ledger a last time. */
  async finish (): Promise<void> {
    this._isRunning = false
    for (const upstream of this._environment.cluster.upstreams.values()) await this._readLedger(upstream)
  }

  private async _readLedger (upstream: StandIn): Promise<void> {
    const { calls = [], requests = [], boot_id: boot } = await upstream.get('/ledger')
    const base = { upstream: upstream.name }
    calls.forEach((call: any, index: number) => {
      // A plain service lists calls by start time, so the position of a call identifies it only together with its request id.
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
      if (!upstream.isRunning) await this._environment.cluster.restart(upstream)
      return true
    })
    record.toMs = Date.now()
  }
}
