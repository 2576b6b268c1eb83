import { fetchJson } from './fetchJson.js'
import { ManagedProcess } from './ManagedProcess.js'
import { pickAddress } from './pickAddress.js'

/** A stand-in process. A restart listens on the same address as the first start. */
export class StandIn extends ManagedProcess {
  /** `flags` without `--listen`; keys are the flags' names, for example `'load-lag-ms'`. */
  constructor (name: string, kind: string, flags: Record<string, string | number | boolean> = {}) {
    // `--flag=value` keeps negative numbers from being read as flags.
    super(name, `standin/${kind}/main.js`, Object.entries(flags).map(([flag, value]) => `--${flag}=${value}`))
  }

  override async start (): Promise<void> {
    if (!this.args.some(arg => arg.startsWith('--listen='))) this.args.push(`--listen=${await pickAddress()}`)
    await super.start()
  }

  async get (path: string): Promise<any> {
    return await fetchJson('GET', this.address, path)
  }

  async post (path: string, body: unknown): Promise<any> {
    return await fetchJson('POST', this.address, path, body)
  }

  async put (path: string, body: unknown): Promise<any> {
    return await fetchJson('PUT', this.address, path, body)
  }

  /** Replaces the faults in force; without an argument all faults are cleared. */
  async setFaults (faults: Record<string, unknown> = {}): Promise<void> {
    await this.post('/faults', faults)
  }
}
