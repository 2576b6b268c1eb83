import type { SimulatedLoad } from './SimulatedLoad.js'

const UNEVEN = [0.7, 0.7, 1.7, 1].map(speed => () => speed)

const BASE: Omit<SimulatedLoad, 'deciders'> = {
  slots: 6,
  workMs: 30,
  speeds: UNEVEN,
  callsPerS: 400,
  burst: 1,
  figureAgeMs: 0,
  countsOwnRequest: false,
  isReachable: () => true,
  measureFromMs: 5000,
  durationMs: 60_000
}

/** Loads under which the selections are compared, by name. */
export const simulatedLoads: Record<string, (deciders: number) => SimulatedLoad> = {
  'few calls': deciders => ({ ...BASE, deciders, callsPerS: 8, measureFromMs: 100_000, durationMs: 500_000 }),
  'few calls, one server three times slower': deciders => ({ ...BASE, deciders, speeds: [1, 1, 1, 1 / 3].map(speed => () => speed), callsPerS: 8, measureFromMs: 100_000, durationMs: 500_000 }),
  'half of capacity': deciders => ({ ...BASE, deciders }),
  'half of capacity, figures with the answered request': deciders => ({ ...BASE, deciders, countsOwnRequest: true }),
  'near capacity': deciders => ({ ...BASE, deciders, callsPerS: 600 }),
  'figures 200 ms old': deciders => ({ ...BASE, deciders, figureAgeMs: 200 }),
  'figures 1000 ms old': deciders => ({ ...BASE, deciders, figureAgeMs: 1000 }),
  'one server three times slower': deciders => ({ ...BASE, deciders, speeds: [1, 1, 1, 1 / 3].map(speed => () => speed), callsPerS: 300 }),
  'bursts after idle periods': deciders => ({ ...BASE, deciders, callsPerS: 12, burst: 24, measureFromMs: 20_000, durationMs: 200_000 }),
  'a server comes back from a failure': deciders => ({ ...BASE, deciders, isReachable: (server, _, nowMs) => server !== 2 || nowMs < 5000 || nowMs > 10_000, measureFromMs: 10_000, durationMs: 20_000 }),
  'a server is fast again': deciders => ({ ...BASE, deciders, speeds: [1, 1, 1, (nowMs: number) => nowMs < 8000 ? 0.2 : 1].map(speed => typeof speed === 'number' ? () => speed : speed), callsPerS: 450, measureFromMs: 10_000, durationMs: 20_000 }),
  'half of the deciders reach two servers only': deciders => ({ ...BASE, deciders, isReachable: (server, decider) => decider % 2 === 0 || server > 1 })
}
