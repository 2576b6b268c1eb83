import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chosenPolicy } from './chosenPolicy.js'
import { ClusterModel } from './ClusterModel.js'
import type { IClusterPolicy } from './IClusterPolicy.js'
import { presentPolicy } from './presentPolicy.js'
import { scenarios } from './scenarios.js'

const SEEDS = [1, 2]
const MAX_IDLE_WAIT_MS = 5000

interface Outcome { worst: number, byTrainer: Record<string, number>, maxIdleWaitMs: number }

/** Mean shares in time over all seeds. */
function play (scenario: string, policy: IClusterPolicy): Outcome {
  const byTrainer: Record<string, number> = {}
  let maxIdleWaitMs = 0
  for (const seed of SEEDS) {
    const create = scenarios[scenario]
    if (create === undefined) throw new Error(`no scenario ${scenario}`)
    const report = new ClusterModel(create(seed), policy).run()
    for (const [name, { inTime }] of Object.entries(report.trainers)) byTrainer[name] = (byTrainer[name] ?? 0) + inTime / SEEDS.length
    maxIdleWaitMs = Math.max(maxIdleWaitMs, report.maxIdleWaitMs)
  }
  return { worst: Math.min(...Object.values(byTrainer)), byTrainer, maxIdleWaitMs }
}

describe('ClusterModel', () => {
  // Three trainers on too few engines, one of them without length hints. Guards against a trainer that gets most of
  // the engines (0.40 of the worst trainer's groups were in time), and items that wait beside idle engines.
  it('serves the worst of three trainers far better than the order by submission', () => {
    const [present, chosen] = [play('three16', presentPolicy), play('three16', chosenPolicy)]
    expect(chosen.worst > present.worst + 0.2).toEqual(true)
    expect(chosen.maxIdleWaitMs <= MAX_IDLE_WAIT_MS).toEqual(true)
  })

  // Engines of speeds 0.6 and 2.4. Guards against an assignment that does not count the speed of engines.
  it('serves the worst of three trainers far better on engines of uneven speed', () => {
    const [present, chosen] = [play('uneven12', presentPolicy), play('uneven12', chosenPolicy)]
    expect(chosen.worst > present.worst + 0.3).toEqual(true)
    expect(chosen.maxIdleWaitMs <= MAX_IDLE_WAIT_MS).toEqual(true)
  })

  // One organisation floods with four trainers. Guards against another one that waits for all of its batches.
  it('keeps an organisation in time while another one floods', () => {
    expect((play('flood', chosenPolicy).byTrainer.a ?? 0) >= 0.9).toEqual(true)
  })

  // One trainer and enough engines, as in older deployments. Guards against a change that makes these worse.
  it('is no worse with one trainer and enough engines', () => {
    for (const scenario of ['one', 'oneQuiet']) expect(play(scenario, chosenPolicy).worst >= play(scenario, presentPolicy).worst).toEqual(true)
  })
})
