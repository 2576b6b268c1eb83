import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url))
// Preloaded before the program. Its output shows that only the modules of the program remain to be loaded.
const PRELOAD_MODULE = 'data:text/javascript,process.stdout.write("booted")'
const TIMEOUT_MS = 30_000

describe('main', () => {
  // Guards against an entry being killed by the signal when a supervisor restarts it and stops it again at once.
  it('is not terminated by a signal that arrives while its modules load', { timeout: TIMEOUT_MS }, async () => {
    const child = spawn(process.execPath, ['--import', PRELOAD_MODULE, MAIN, 'entry', '--config', '/nowhere/entry.ini'], { stdio: ['ignore', 'pipe', 'ignore'] })
    await once(child.stdout, 'data')
    setTimeout(() => child.kill('SIGTERM'), 60)
    const [code, signal] = await once(child, 'exit')
    expect([code, signal]).toEqual([2, null])
  })
})
