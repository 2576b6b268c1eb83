import { setTimeout as sleep } from 'node:timers/promises'
import { Client } from 'undici'
import type { Call } from '../checker/Call.js'
import type { EntryProcess } from '../../tools/harness/EntryProcess.js'
import { makeCall } from './makeCall.js'

const CALL_INTERVAL_MS = 60
const RECONNECT_DELAY_MS = 200
const DEADLINE_MS = 2_000
const ORGANISATION = 'lin-shun'
const SERVICE = 'order-app'

/**
 * Clients that each use one persistent connection to an entry. They continue to use it while the entry is drained,
 * paused or killed, until the process has exited, because they do not follow the targets of the balancer.
 */
export class KeepAliveClients {
  readonly calls: Call[] = []
  private _isRunning = true
  private _idCount = 0

  constructor (private readonly _entries: EntryProcess[]) {}

  async run (): Promise<void> {
    await Promise.all(this._entries.map(async entry => await this._sendCalls(entry)))
  }

  stop (): void {
    this._isRunning = false
  }

  private async _sendCalls (entry: EntryProcess): Promise<void> {
    const client = new Client(`http://${entry.listen}`, { pipelining: 1 })
    while (this._isRunning) {
      const id = `k${++this._idCount}`
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
      await sleep(call.end === 'connect_failed' ? RECONNECT_DELAY_MS : CALL_INTERVAL_MS)
    }
    await client.destroy()
  }
}
