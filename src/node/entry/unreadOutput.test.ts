import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { expect } from 'earl'

const LOGGER_URL = new URL('./createLogger.js', import.meta.url).href
const LIMITED_URL = new URL('../../common/metrics/LimitedLogger.js', import.meta.url).href
/** A request's share of its target latency that a pause may take. */
const MAX_PAUSE_MS = 100
const SCRIPT = `
  const { createLogger } = await import('${LOGGER_URL}')
  const { LimitedLogger } = await import('${LIMITED_URL}')
  const { logger: output, backlogBytes } = await createLogger('info', 'entry-1', 1)
  const logger = new LimitedLogger(output, backlogBytes)
  let worstMs = 0
  let lastMs = performance.now()
  setInterval(() => {
    worstMs = Math.max(worstMs, performance.now() - lastMs)
    lastMs = performance.now()
  }, 5)
  setInterval(() => {
    for (let count = 0; count < 20; count++) logger.info({ request: 'r', text: 'x'.repeat(2000) }, 'request_done')
  }, 10)
  setTimeout(() => {
    process.stderr.write(JSON.stringify({ worstMs, backlogBytes: backlogBytes() }))
  }, 3000)
`

describe('unread output', () => {
  it('delays no request and fills no memory when nobody reads the log lines', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', SCRIPT], { stdio: ['ignore', 'pipe', 'pipe'] })
    let report = ''
    child.stderr.on('data', chunk => {
      report += chunk.toString()
      // An exit of its own would wait until the output has been read.
      child.kill('SIGKILL')
    })
    // The pipe of the output is never read.
    child.stdout.pause()
    await once(child, 'exit')
    child.stdout.destroy()
    const { worstMs, backlogBytes } = JSON.parse(report) as { worstMs: number, backlogBytes: number }
    expect(worstMs).toBeLessThan(MAX_PAUSE_MS)
    expect(backlogBytes).toBeLessThan(2_000_000)
  })
})
