import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { LimitedLogger } from './LimitedLogger.js'

describe('LimitedLogger', () => {
  let time: VirtualTime
  let lines: string[]
  let backlogBytes: number
  let logger: LimitedLogger

  beforeEach(() => {
    time = new VirtualTime()
    lines = []
    backlogBytes = 0
    const write = (fields: Record<string, unknown>, event: string): void => { lines.push(`${event}${fields['lines'] === undefined ? '' : ` ${String(fields['lines'])}`}`) }
    logger = new LimitedLogger({ info: write, warn: write, error: write, debug: write }, () => backlogBytes)
  })
  afterEach(() => {
    logger.dispose()
    time.restore()
  })

  it('counts the lines dropped above the budget, and keeps a separate budget for failures', async () => {
    for (let count = 0; count < 1000; count++) logger.info({}, 'routine')
    for (let count = 0; count < 10; count++) logger.warn({}, 'failure')
    expect(lines.filter(line => line === 'routine').length).toEqual(600)
    expect(lines.filter(line => line === 'failure').length).toEqual(10)
    await time.advance(1000)
    expect(lines.at(-1)).toEqual('log_lines_dropped 400')
  })

  it('drops lines while the output is not read, so that they do not fill the memory', async () => {
    backlogBytes = 2_000_000
    for (let count = 0; count < 50; count++) logger.warn({}, 'failure')
    expect(lines).toEqual([])
    backlogBytes = 0
    await time.advance(1000)
    expect(lines).toEqual(['log_lines_dropped 50'])
  })
})
