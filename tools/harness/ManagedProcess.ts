import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import type { Socket } from 'node:net'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import type { IDisposable } from '../../src/common/kernel/IDisposable.js'

// Long enough for a loaded machine that starts dozens of processes at once.
const READY_TIMEOUT_MS = 60_000
const MIN_RETAINED_LOG_LINES = 20_000
const EXIT_WITH_PARENT = new URL('./exitWithParent.js', import.meta.url).href
const ROOT = fileURLToPath(new URL('../..', import.meta.url))

const runningChildren = new Set<ChildProcess>()
const killRunningChildren = () => { for (const child of runningChildren) child.kill('SIGKILL') }
process.once('exit', killRunningChildren)
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => {
    killRunningChildren()
    process.exit(1)
  })
}

/** A Node.js child process that prints a line with its address once it listens. It ends when its parent exits or is killed. */
export class ManagedProcess implements IDisposable {
  /** Lines of stdout and stderr, including those of earlier runs. */
  readonly logs: string[] = []
  address = ''
  private _child: ChildProcess | undefined
  private _isReady = false

  /** `script` is relative to `dist`. */
  constructor (readonly name: string, readonly script: string, public args: string[]) {}

  /** URLs of modules that the process loads before its script. */
  protected get imports (): string[] {
    return []
  }

  /** Matches the line that the process prints once it listens, with its address `ip:port` as the first group. */
  protected get readyPattern (): RegExp {
    return /^ready (\S+)/
  }

  /** Variables added to the environment of the process. */
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

  /** Whether the last run has printed its ready line. */
  get isReady (): boolean {
    return this._isReady
  }

  /** Signal that ended the last run; null while it runs or after an exit. */
  get signalCode (): NodeJS.Signals | null {
    return this._child?.signalCode ?? null
  }

  /** Starts the process and resolves once it has printed its ready line. Rejects if it exits first or is not ready in time. */
  async start (): Promise<void> {
    if (this.isRunning) throw new Error(`${this.name} is already running`)
    const imports = [EXIT_WITH_PARENT, ...this.imports].flatMap(module => ['--import', module])
    const child = spawn(process.execPath, [...imports, ROOT + this.script, ...this.args], {
      env: { ...process.env, ...this.environment },
      stdio: ['pipe', 'pipe', 'pipe']
    })
    this._child = child
    this._isReady = false
    runningChildren.add(child)
    child.once('exit', () => runningChildren.delete(child))
    child.stdin.on('error', () => {})
    createInterface({ input: child.stderr }).on('line', line => this._appendLog(line))
    const output = createInterface({ input: child.stdout })
    await new Promise<void>((resolve, reject) => {
      const fail = (reason: string) => reject(new Error(`${this.name} ${reason}; last lines:\n${this.logs.slice(-20).join('\n')}`))
      const timer = setTimeout(() => fail('was not ready in time'), READY_TIMEOUT_MS)
      // Unlike `exit`, `close` is emitted after all output was read, so the error includes the last lines.
      child.once('close', (code, signal) => {
        clearTimeout(timer)
        fail(`exited with ${code ?? signal} before it was ready`)
      })
      output.on('line', line => {
        this._appendLog(line)
        const address = this.readyPattern.exec(line)?.[1]
        if (address === undefined) return
        this.address = address
        this._isReady = true
        clearTimeout(timer)
        this._setRef(false)
        resolve()
      })
    })
  }

  signal (signal: NodeJS.Signals): void {
    if (this.isRunning) this._child?.kill(signal)
  }

  /** Suspends the process (SIGSTOP) until `resume`; it gets no chance to react. */
  pause (): void {
    this.signal('SIGSTOP')
  }

  resume (): void {
    this.signal('SIGCONT')
  }

  /** Sends SIGKILL and resolves when the process has exited. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.waitForExit()
  }

  /** Sends SIGTERM and resolves with the exit code when the process has exited; null if a signal ended it. */
  async terminate (): Promise<number | null> {
    this.signal('SIGTERM')
    await this.waitForExit()
    return this.exitCode
  }

  /** Resolves when the process has exited. */
  async waitForExit (): Promise<void> {
    if (!this.isRunning) return
    this._setRef(true)
    await once(this._child!, 'exit')
  }

  dispose (): void {
    this.signal('SIGKILL')
  }

  /** Unreferences the child's handles so that a running child does not keep the test process alive, for example after a failed test. */
  private _setRef (isOn: boolean): void {
    const child = this._child!
    for (const handle of [child, child.stdin, child.stdout, child.stderr] as unknown as Array<Socket | null>) {
      if (isOn) handle?.ref()
      else handle?.unref()
    }
  }

  private _appendLog (line: string): void {
    this.logs.push(line)
    if (this.logs.length > 2 * MIN_RETAINED_LOG_LINES) this.logs.splice(0, MIN_RETAINED_LOG_LINES)
  }
}
