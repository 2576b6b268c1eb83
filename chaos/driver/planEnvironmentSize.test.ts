import { describe, it } from 'node:test'
import { expect } from 'earl'
import { maxProcesses } from './maxProcesses.js'
import { MIN_PROCESSES } from './MIN_PROCESSES.js'
import { planEnvironmentSize } from './planEnvironmentSize.js'

// Processes whose number is constant: log, membership, weights, fault proxy, balancer and three trainers.
const FIXED_PROCESSES = 8
const SERVICE_COUNT = 4

describe('planEnvironmentSize', () => {
  it('assigns a role to every process', () => {
    for (const processes of [MIN_PROCESSES, 33, 47, 64, 151]) {
      const { entries, upstreams } = planEnvironmentSize(processes)
      expect(FIXED_PROCESSES + entries + SERVICE_COUNT * upstreams).toEqual(processes)
    }
  })

  it('limits a run to half of the memory', () => {
    expect(maxProcesses(24e9)).toEqual(150)
  })
})
