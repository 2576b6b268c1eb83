import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url))
// Preloaded before the program. Its output shows that only the modules of the program remain to be loaded.
const PRELOAD_MODULE = 'data:text/javascript,process.stdout.write("booted")'
const TIMEOUT_MS = 30_000
/** Time that the program may run before its handlers are installed; loading its modules takes several times as long. */
const MAX_UNGUARDED_MS = 60
const POLL_INTERVAL_MS = 1

/** Time for which the main thread of a process has run, in milliseconds; on a starved host it is far below the wall-clock time. */
function readRunTimeMs (pid: number): number {
  return Number(readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')[0]) / 1e6
}

describe('main', () => {
  // Guards against an entry being killed by the signal when a supervisor restarts it and stops it again at once.
  it('is not terminated by a signal that arrives while its modules load', { timeout: TIMEOUT_MS }, async () => {
    const child = spawn(process.execPath, ['--import', PRELOAD_MODULE, MAIN, 'entry', '--config', '/nowhere/entry.ini'], { stdio: ['ignore', 'pipe', 'ignore'] })
    await once(child.stdout, 'data')
    const exited = once(child, 'exit')
    const bootedAtMs = readRunTimeMs(child.pid!)
    while (readRunTimeMs(child.pid!) - bootedAtMs < MAX_UNGUARDED_MS) await sleep(POLL_INTERVAL_MS)
    expect(child.exitCode).toEqual(null)
    child.kill('SIGTERM')
    const [code, signal] = await exited
    expect([code, signal]).toEqual([2, null])
  })
})
