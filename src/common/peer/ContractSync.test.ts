import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import { Emitter } from '../kernel/Emitter.js'
import { ContractSync } from './ContractSync.js'

const logger = { info () {}, warn () {}, error () {}, debug () {} }
const revision = { organisation: 'lin-shun', revision: 3, operator: 'mei', atMs: 1, text: '' }

describe('ContractSync', () => {
  let isCaughtUp: boolean
  let answers: Record<string, any>
  let offered: any[]
  let asked: string[]
  let gap: Emitter<number>
  let ledger: any
  let sync: ContractSync
  beforeEach(() => {
    mock.timers.enable({ apis: ['setInterval', 'Date'] })
    mock.method(performance, 'now', () => Date.now())
    isCaughtUp = false
    answers = { a: errAsync({ kind: 'peer_unavailable', message: 'down' }), b: okAsync([revision]) }
    offered = []
    asked = []
    gap = new Emitter<number>()
    ledger = {
      gapCount: 0,
      areAsked: false,
      all: () => offered,
      offer: (item: any) => offered.push(item),
      onGap: gap.event,
      markPeersAsked: (gapCount: number) => { ledger.areAsked = gapCount === ledger.gapCount },
      isVerified: () => ledger.areAsked && isCaughtUp
    }
    sync = new ContractSync(
      { hasList: true, rpcAddresses: () => new Map(Object.keys(answers).map(id => [id, id])) } as any,
      { getContracts: address => { asked.push(address); return answers[address] } },
      ledger,
      { status: () => ({ isCaughtUp }) } as any,
      logger)
    sync.start()
  })
  afterEach(() => {
    sync.dispose()
    mock.timers.reset()
    mock.restoreAll()
  })
  const tick = async (ms: number): Promise<void> => {
    mock.timers.tick(ms)
    for (let turn = 0; turn < 20; turn++) await Promise.resolve()
  }

  it('asks all listed entries once and is settled by one answer during a log outage', async () => {
    expect(sync.isCurrent).toEqual(false)
    await tick(250)
    expect(sync.isCurrent).toEqual(true)
    expect(offered).toEqual([revision])
    await tick(5000)
    expect(asked).toEqual(['a', 'b'])
  })

  it('asks again while there is no contract, because all entries may start at once', async () => {
    answers = { a: answers['a'] }
    await tick(250)
    expect(sync.isCurrent).toEqual(false)
    await tick(2250)
    expect(asked).toEqual(['a', 'a'])
  })

  it('needs both the log and the entries after a retention gap', async () => {
    await tick(250)
    Object.assign(ledger, { gapCount: 1, areAsked: false })
    gap.fire(1)
    expect(sync.isCurrent).toEqual(false)
    await tick(250)
    expect(sync.isCurrent).toEqual(false)
    isCaughtUp = true
    expect(sync.isCurrent).toEqual(true)
    expect(asked.length).toEqual(4)
  })
})
