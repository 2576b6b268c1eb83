import { ManagedProcess } from './ManagedProcess.js'

/** An entry daemon with its addresses. */
export class EntryProcess extends ManagedProcess {
  constructor (
    name: string,
    readonly failureDomain: string,
    readonly listen: string,
    readonly peer: string,
    readonly rpc: string,
    readonly configFile: string
  ) {
    super(name, 'src/node/cli/main.js', ['entry', '--config', configFile])
  }

  /** Status of `/readyz`; 0 when the entry does not answer. */
  async readiness (): Promise<number> {
    const response = await fetch(`http://${this.listen}/readyz`, { signal: AbortSignal.timeout(5000) }).catch(() => undefined)
    await response?.body?.cancel()
    return response?.status ?? 0
  }
}
