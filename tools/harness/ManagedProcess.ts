import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import type { Socket } from 'node:net'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import type { IDisposable } from '../../src/common/kernel/IDisposable.js'

// A busy machine starts dozens of processes at once.
const READY_TIMEOUT_MS = 60_000
const MAX_LOG_LINES = 20_000
const EXIT_WITH_PARENT = new URL('./exitWithParent.js', import.meta.url).href
const ROOT = fileURLToPath(new URL('../..', import.meta.url))

const live = new Set<ChildProcess>()
const killAll = () => { for (const child of live) child.kill('SIGKILL') }
process.once('exit', killAll)
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => {
    killAll()
    process.exit(1)
  })
}

/** A Node.js child process that prints `ready <ip:port>`; killed when its parent ends in any way. */
export class ManagedProcess implements IDisposable {
  /** Lines of stdout and stderr, of earlier runs too. */
  readonly logs: string[] = []
  address = ''
  private _child: ChildProcess | undefined

  /** `script` is relative to `dist`. */
  constructor (readonly name: string, readonly script: string, public args: string[]) {}

  /** Modules that the process loads before its script. */
  protected get imports (): string[] {
    return []
  }

  /** Variables added to its environment. */
  protected get environment (): NodeJS.ProcessEnv {
    return {}
  }

  get pid (): number | undefined {
    return this._child?.pid
  }

  get isRunning (): boolean {
    return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null
  }

  /** Exit code of the last run; null while it runs or after a signal. */
  get exitCode (): number | null {
    return this._child?.exitCode ?? null
  }

  /** Starts the process and resolves when it printed its ready line; rejects when it exits before. */
  async start (): Promise<void> {
    if (this.isRunning) throw new Error(`${this.name} runs already`)
    const imports = [EXIT_WITH_PARENT, ...this.imports].flatMap(module => ['--import', module])
    const child = spawn(process.execPath, [...imports, ROOT + this.script, ...this.args], {
      env: { ...process.env, ...this.environment },
      stdio: ['pipe', 'pipe', 'pipe']
    })
    this._child = child
    live.add(child)
    child.once('exit', () => live.delete(child))
    child.stdin.on('error', () => {})
    createInterface({ input: child.stderr }).on('line', line => this._keep(line))
    const output = createInterface({ input: child.stdout })
    await new Promise<void>((resolve, reject) => {
      const fail = (reason: string) => reject(new Error(`${this.name} ${reason}; last lines:\n${this.logs.slice(-20).join('\n')}`))
      const timer = setTimeout(() => fail('was not ready in time'), READY_TIMEOUT_MS)
      // `close` comes after all output, so the message shows the last lines.
      child.once('close', (code, sendSignal) => {
        clearTimeout(timer)
        fail(`exited with ${code ?? sendSignal} before it was ready`)
      })
      output.on('line', line => {
        this._keep(line)
        const address = /^ready (\S+)/.exec(line)?.[1]
        if (address === undefined) return
        this.address = address
        clearTimeout(timer)
        this._setRef(false)
        resolve()
      })
    })
  }

  signal (signal: NodeJS.Signals): void {
    if (this.isRunning) this._child?.kill(signal)
  }

  /** Stops the process without its knowledge (SIGSTOP) until `resume`. */
  pause (): void {
    this.signal('SIGSTOP')
  }

  resume (): void {
    this.signal('SIGCONT')
  }

  /** SIGKILL; resolves when the process is gone. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.waitForExit()
  }

  /** SIGTERM; resolves with the exit code when the process is gone. */
  async terminate (): Promise<number | null> {
    this.signal('SIGTERM')
    await this.waitForExit()
    return this.exitCode
  }

  /** Resolves when the process is gone. */
  async waitForExit (): Promise<void> {
    if (!this.isRunning) return
    this._setRef(true)
    await once(this._child!, 'exit')
  }

  dispose (): void {
    this.signal('SIGKILL')
  }

  /** A running child must not keep the test process from ending, for example after a failed test. */
  private _setRef (isOn: boolean): void {
    const child = this._child!
    for (const handle of [child, child.stdin, child.stdout, child.stderr] as unknown as Array<Socket | null>) {
      if (isOn) handle?.ref()
      else handle?.unref()
    }
  }

  private _keep (line: string): void {
    this.logs.push(line)
    if (this.logs.length > 2 * MAX_LOG_LINES) this.logs.splice(0, MAX_LOG_LINES)
  }
}
