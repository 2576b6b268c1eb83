import { writeFileSync } from 'node:fs'
import { ManagedProcess } from './ManagedProcess.js'

const STEPPED_CLOCK = new URL('./steppedClock.js', import.meta.url).href

/** Process of an entry daemon, with its addresses and settings file. */
export class EntryProcess extends ManagedProcess {
  constructor (
    name: string,
    readonly failureDomain: string,
    readonly listen: string,
    readonly peer: string,
    readonly rpc: string,
    readonly configFile: string,
    private readonly _nodeOptions?: string
  ) {
    super(name, 'src/node/cli/main.js', ['entry', '--config', configFile])
  }

  /** Sets the offset of the entry's wall clock from the host's; 0 removes it. */
  stepClock (offsetMs: number): void {
    writeFileSync(this._clockFile, String(offsetMs))
  }

  protected override get imports (): string[] {
    return [STEPPED_CLOCK]
  }

  protected override get environment (): NodeJS.ProcessEnv {
    return { HYSSOPVALVE_CLOCK_FILE: this._clockFile, ...this._nodeOptions !== undefined && { NODE_OPTIONS: this._nodeOptions } }
  }

  private get _clockFile (): string {
    return `${this.configFile}.clock`
  }

  /** HTTP status of `/readyz`; 0 when the entry does not respond. */
  async fetchReadinessStatus (): Promise<number> {
    const response = await fetch(`http://${this.listen}/readyz`, { signal: AbortSignal.timeout(5000) }).catch(() => undefined)
    await response?.body?.cancel()
    return response?.status ?? 0
  }
}
