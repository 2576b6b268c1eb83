import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import { Emitter } from '../kernel/Emitter.js'
import { ContractSync } from './ContractSync.js'

const logger = { info () {}, warn () {}, error () {}, debug () {} }
const revision = { organisation: 'lin-shun', revision: 3, operator: 'mei', atMs: 1, text: '' }

describe('ContractSync', () => {
  let isCaughtUp: boolean
  let responses: Record<string, any>
  let offeredRevisions: any[]
  let queriedAddresses: string[]
  let gap: Emitter<number>
  let contracts: any
  let sync: ContractSync
  beforeEach(() => {
    mock.timers.enable({ apis: ['setInterval', 'Date'] })
    mock.method(performance, 'now', () => Date.now())
    isCaughtUp = false
    responses = { a: errAsync({ kind: 'peer_unavailable', message: 'down' }), b: okAsync([revision]) }
    offeredRevisions = []
    queriedAddresses = []
    gap = new Emitter<number>()
    contracts = {
      gapCount: 0,
      arePeersQueried: false,
      all: () => offeredRevisions,
      offer: (item: any) => offeredRevisions.push(item),
      onGap: gap.event,
      markPeersQueried: (gapCount: number) => { contracts.arePeersQueried = gapCount === contracts.gapCount },
      isVerified: () => contracts.arePeersQueried && isCaughtUp
    }
    sync = new ContractSync(
      { hasMembershipList: true, rpcAddresses: () => new Map(Object.keys(responses).map(id => [id, id])) } as any,
      { getContracts: address => { queriedAddresses.push(address); return responses[address] } },
      contracts,
      { status: () => ({ isCaughtUp }) } as any,
      logger)
    sync.start()
  })
  afterEach(() => {
    sync.dispose()
    mock.timers.reset()
    mock.restoreAll()
  })
  const advance = async (ms: number): Promise<void> => {
    mock.timers.tick(ms)
    for (let index = 0; index < 20; index++) await Promise.resolve()
  }

  it('queries all listed entries once and is current after one response during a log outage', async () => {
    expect(sync.isCurrent).toEqual(false)
    await advance(250)
    expect(sync.isCurrent).toEqual(true)
    expect(offeredRevisions).toEqual([revision])
    await advance(5000)
    expect(queriedAddresses).toEqual(['a', 'b'])
  })

  it('queries again while there is no contract, because all entries may start at the same time', async () => {
    responses = { a: responses['a'] }
    await advance(250)
    expect(sync.isCurrent).toEqual(false)
    await advance(2250)
    expect(queriedAddresses).toEqual(['a', 'a'])
  })

  it('is current after a retention gap only when both the log and the entries have been read', async () => {
    await advance(250)
    Object.assign(contracts, { gapCount: 1, arePeersQueried: false })
    gap.fire(1)
    expect(sync.isCurrent).toEqual(false)
    await advance(250)
    expect(sync.isCurrent).toEqual(false)
    isCaughtUp = true
    expect(sync.isCurrent).toEqual(true)
    expect(queriedAddresses.length).toEqual(4)
  })
})
