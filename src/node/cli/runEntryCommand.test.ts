import { describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { createTestSettings } from '../entry/testing/createTestSettings.js'
import { registerFakes } from '../entry/testing/registerFakes.js'
import { CliError } from './CliError.js'
import { runEntryCommand } from './runEntryCommand.js'

const settings = createTestSettings('drain_notice_ms = 50')

describe('runEntryCommand', () => {
  it('prints the address once it listens, and drains and exits with 0 after a signal, even if the signal is repeated', async () => {
    const lines: string[] = []
    const io = { out: (line: string) => { lines.push(line) }, err () {}, env: {} }
    const running = runEntryCommand(settings, 'error', io, registry =>
      registerFakes(registry, { callDurationMs: () => 300, deadlineMs: 1000, otherInFlight: () => 0, onFlush () {} }))
    while (lines.length === 0) await sleep(5)
    expect(lines[0]).toMatchRegex(/^ready 127\.0\.0\.1:\d+$/)
    const call = fetch(`http://${lines[0]?.slice('ready '.length)}/v1/services/order-app/x`, { headers: { authorization: 'Bearer token' } })
    await sleep(50)
    process.emit('SIGTERM', 'SIGTERM')
    // A repeated stop signal must not abort the call. An exit here would end the test process.
    await sleep(10)
    process.emit('SIGTERM', 'SIGTERM')
    expect((await call).status).toEqual(200)
    expect(await running).toEqual(0)
    process.removeAllListeners('SIGTERM').removeAllListeners('SIGINT')
  })

  it('drains and exits with 0 when the signal arrives during the start', async () => {
    const io = { out () {}, err () {}, env: {} }
    const running = runEntryCommand(settings, 'error', io, registry => {
      // Guards against a start without a signal handler, in which the signal terminates the process.
      process.emit('SIGTERM', 'SIGTERM')
      return registerFakes(registry, { callDurationMs: () => 0, deadlineMs: 100, otherInFlight: () => 0, onFlush () {} })
    })
    expect(await running).toEqual(0)
    process.removeAllListeners('SIGTERM').removeAllListeners('SIGINT')
  })

  it('fails with a one-line message when a service is missing', async () => {
    const io = { out () {}, err () {}, env: {} }
    await expect(runEntryCommand(settings, 'error', io, () => ({ startOrder: [], inFlight: () => 0 }))).toBeRejectedWith(CliError, 'the entry cannot start')
  })
})
