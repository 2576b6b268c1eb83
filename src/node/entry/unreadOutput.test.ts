import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { expect } from 'earl'

const LOGGER_URL = new URL('./createLogger.js', import.meta.url).href
const LIMITED_URL = new URL('../../common/metrics/LimitedLogger.js', import.meta.url).href
/** Part of a request's target latency that a pause of the event loop may take. */
const PAUSE_LIMIT_MS = 100
const SCRIPT = `
  const { createLogger } = await import('${LOGGER_URL}')
  const { LimitedLogger } = await import('${LIMITED_URL}')
  const { logger: output, backlogBytes } = await createLogger('info', 'entry-1', 1)
  const logger = new LimitedLogger(output, backlogBytes)
  let maxPauseMs = 0
  let lastTickMs = performance.now()
  setInterval(() => {
    maxPauseMs = Math.max(maxPauseMs, performance.now() - lastTickMs)
    lastTickMs = performance.now()
  }, 5)
  setInterval(() => {
    for (let count = 0; count < 20; count++) logger.info({ request: 'r', text: 'x'.repeat(2000) }, 'request_done')
  }, 10)
  setTimeout(() => {
    process.stderr.write(JSON.stringify({ maxPauseMs, backlogBytes: backlogBytes() }))
  }, 3000)
`

describe('unread output', () => {
  it('blocks the event loop only briefly and buffers a limited amount when nobody reads the log lines', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', SCRIPT], { stdio: ['ignore', 'pipe', 'pipe'] })
    let report = ''
    child.stderr.on('data', chunk => {
      report += chunk.toString()
      // A regular exit would wait until the output has been read.
      child.kill('SIGKILL')
    })
    // The stdout pipe is never read.
    child.stdout.pause()
    await once(child, 'exit')
    child.stdout.destroy()
    const { maxPauseMs, backlogBytes } = JSON.parse(report) as { maxPauseMs: number, backlogBytes: number }
    expect(maxPauseMs).toBeLessThan(PAUSE_LIMIT_MS)
    expect(backlogBytes).toBeLessThan(2_000_000)
  })
})
