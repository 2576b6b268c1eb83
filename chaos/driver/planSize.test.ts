import { describe, it } from 'node:test'
import { expect } from 'earl'
import { maxProcesses } from './maxProcesses.js'
import { MIN_PROCESSES } from './MIN_PROCESSES.js'
import { planSize } from './planSize.js'

// Processes that do not grow: log, membership, weights, fault proxy, balancer and three trainers.
const FIXED = 8
const SERVICES = 4

describe('planSize', () => {
  it('gives every process a role', () => {
    for (const processes of [MIN_PROCESSES, 33, 47, 64, 151]) {
      const { entries, upstreams } = planSize(processes)
      expect(FIXED + entries + SERVICES * upstreams).toEqual(processes)
    }
  })

  it('keeps a run within half of the memory', () => {
    expect(maxProcesses(24e9)).toEqual(150)
  })
})
