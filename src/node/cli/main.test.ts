import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url))
// Loaded before the program; says that only its own modules are left to load.
const BOOTED = 'data:text/javascript,process.stdout.write("booted")'
const TIMEOUT_MS = 30_000

describe('main', () => {
  // Guards against an entry that a supervisor restarts and stops again at once ending by the signal.
  it('does not end by a signal that arrives while its modules load', { timeout: TIMEOUT_MS }, async () => {
    const child = spawn(process.execPath, ['--import', BOOTED, MAIN, 'entry', '--config', '/nowhere/entry.ini'], { stdio: ['ignore', 'pipe', 'ignore'] })
    await once(child.stdout, 'data')
    setTimeout(() => child.kill('SIGTERM'), 60)
    const [code, signal] = await once(child, 'exit')
    expect([code, signal]).toEqual([2, null])
  })
})
