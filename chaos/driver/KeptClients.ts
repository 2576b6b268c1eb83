import { setTimeout as sleep } from 'node:timers/promises'
import { Client } from 'undici'
import type { Call } from '../checker/Call.js'
import type { EntryProcess } from '../../tools/harness/EntryProcess.js'
import { makeCall } from './makeCall.js'

const GAP_MS = 60
const RECONNECT_MS = 200
const DEADLINE_MS = 2_000
const ORGANISATION = 'lin-shun'
const SERVICE = 'order-app'

/**
 * Callers that keep one connection each and go on using it while its entry is drained, paused or killed,
 * until the process is gone. They do not follow the balancer's view.
 */
export class KeptClients {
  readonly calls: Call[] = []
  private _isOn = true
  private _ids = 0

  constructor (private readonly _entries: EntryProcess[]) {}

  async run (): Promise<void> {
    await Promise.all(this._entries.map(async entry => await this._use(entry)))
  }

  stop (): void {
    this._isOn = false
  }

  private async _use (entry: EntryProcess): Promise<void> {
    const client = new Client(`http://${entry.listen}`, { pipelining: 1 })
    while (this._isOn) {
      const id = `k${++this._ids}`
      const call = await makeCall({
        id,
        kind: 'lookup',
        entry: entry.name,
        address: entry.listen,
        organisation: ORGANISATION,
        service: SERVICE,
        expected: id,
        deadlineMs: DEADLINE_MS,
        method: 'GET',
        path: `/v1/services/${SERVICE}/orders/${id}`
      }, client)
      this.calls.push(call)
      await sleep(call.end === 'connect_failed' ? RECONNECT_MS : GAP_MS)
    }
    await client.destroy()
  }
}
