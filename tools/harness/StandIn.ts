import { fetchJson } from './fetchJson.js'
import { ManagedProcess } from './ManagedProcess.js'
import { pickAddress } from './pickAddress.js'

/** A process of an emulated external system. A restart listens on the same address as the first start. */
export class StandIn extends ManagedProcess {
  /** `flags` are command line flags by name, for example `'load-lag-ms'`; `--listen` is added on start. */
  constructor (name: string, kind: string, flags: Record<string, string | number | boolean> = {}) {
    // `--flag=value` keeps negative numbers from being read as flags.
    super(name, `standin/${kind}/main.js`, Object.entries(flags).map(([flag, value]) => `--${flag}=${value}`))
  }

  override async start (): Promise<void> {
    if (!this.args.some(arg => arg.startsWith('--listen='))) this.args.push(`--listen=${await pickAddress()}`)
    await super.start()
  }

  /** Sends a GET request and resolves with the JSON response; rejects unless the status is 2xx. */
  async get (path: string): Promise<any> {
    return await fetchJson('GET', this.address, path)
  }

  async post (path: string, body: unknown): Promise<any> {
    return await fetchJson('POST', this.address, path, body)
  }

  async put (path: string, body: unknown): Promise<any> {
    return await fetchJson('PUT', this.address, path, body)
  }

  /** Replaces the injected faults; without an argument all faults are cleared. */
  async setFaults (faults: Record<string, unknown> = {}): Promise<void> {
    await this.post('/faults', faults)
  }
}
