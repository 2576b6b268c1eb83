import type { ClusterScenario, TrainerLoad } from './ClusterScenario.js'

const trainer = (name: string, groups: number, itemsPerGroup: number, meanEvents: number, overrides: Partial<TrainerLoad> = {}): TrainerLoad =>
  ({ name, model: name, groups, itemsPerGroup, meanEvents, hasHints: true, ...overrides })
const speeds = (count: number, ...pattern: number[]): number[] => Array.from({ length: count }, (_, index) => pattern[index % pattern.length] ?? 1)
const base = { durationMs: 112_000, slotsPerEngine: 8, hasFaults: true }
const three = (overrides: Partial<TrainerLoad> = {}): TrainerLoad[] => [trainer('a', 6, 16, 13), trainer('b', 8, 16, 21, { hasHints: false }), trainer('c', 17, 8, 17, overrides)]
const shared = { model: 'm', acceptsAnyVersion: true }

/** Scenarios of the model by name, for a seed. */
export const scenarios: Record<string, (seed: number) => ClusterScenario> = {
  three31: seed => ({ ...base, seed, speeds: speeds(31, 1, 1, 1.3), trainers: three() }),
  three20: seed => ({ ...base, seed, speeds: speeds(20, 0.7, 1.7, 0.7), trainers: three() }),
  three16: seed => ({ ...base, seed, speeds: speeds(16, 1, 1, 1.3), trainers: three() }),
  three12x6: seed => ({ ...base, seed, slotsPerEngine: 6, speeds: speeds(14, 1, 1.3), trainers: three() }),
  shared8: seed => ({ ...base, seed, speeds: speeds(8, 1, 1.3), trainers: three().map(load => ({ ...load, ...shared })) }),
  shared6: seed => ({ ...base, seed, speeds: speeds(6, 1, 1.3), trainers: three().map(load => ({ ...load, ...shared })) }),
  flood: seed => ({ ...base, seed, speeds: speeds(8, 1, 1.3), trainers: [trainer('a', 6, 16, 13, { ...shared, organisation: 'x' }), ...['f1', 'f2', 'f3', 'f4'].map(name => trainer(name, 8, 16, 17, { ...shared, organisation: 'y' }))] }),
  three60: seed => ({ ...base, seed, speeds: speeds(60, 1, 1, 1.3), trainers: three() }),
  uneven12: seed => ({ ...base, seed, speeds: speeds(12, 0.6, 0.6, 2.4), trainers: three() }),
  one: seed => ({ ...base, seed, speeds: speeds(31, 1, 1, 1.3), trainers: [trainer('a', 17, 8, 17)] }),
  oneQuiet: seed => ({ ...base, seed, hasFaults: false, speeds: speeds(31, 1, 1, 1.3), trainers: [trainer('a', 17, 8, 17)] })
}
