import { setTimeout as sleep } from 'node:timers/promises'
import { runCase, send } from '../common-3/Deployment.mjs'
import { Engine, textOf } from '../common-3/Engine.mjs'
import { SlowLink } from '../common-3/SlowLink.mjs'

const LIMITS = { memoryMb: 410, maxFds: 8200 }
const ENTRIES = 3
const ENGINES = 6
const SLOTS = 8
const HOST = 'bench.example'
const PREFIX = '/rollouts/'
const MODEL = 'brim'
const GROUPS = 12
const GROUP_ITEMS = 4
const EVENTS = 21
const EVENT_INTERVAL_MS = 20
/** Half of the groups have prompts of this size, the others short ones. */
const LARGE_BYTES = 200_000
const SMALL_BYTES = 600
const LINK_BYTES_PER_S = 31_500_000 / 8
const READ_INTERVAL_MS = 500
const READ_TIMEOUT_MS = 2500
const TRAINER_BUDGET_MS = 12_000
/** An item must not be at no server for this long in steady state; a run that its sender ends within a second does not count. */
const MAX_WAIT_MS = 5000
const MIN_RUN_MS = 1000
const STEPS = 3

const config = {
  version: 1,
  routes: [{ name: 'rollouts', host: HOST, path_prefix: PREFIX, kind: 'rollout', service: 'shaping-llm', timeout_ms: 10_000, target_latency_ms: 400, priority: 0, max_attempts: 3, retention_s: 40, deadline_ms: 7500, single_version: false, resumable: true }],
  services: [{ name: 'shaping-llm', health_path: '/health', max_conns: 180, engine: { kv_capacity_tokens: 71_021, stride: 56 } }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 33_554_432, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

await runCase(new URL('record.txt', import.meta.url).pathname, async (deployment, hasTrouble) => {
  const { record } = deployment
  await deployment.startStore()
  deployment.writeConfig(config)
  // Only one machine sends items at a time, and all of them have links of the same kind.
  const link = new SlowLink(hasTrouble ? LINK_BYTES_PER_S : Infinity)
  const engines = Array.from({ length: ENGINES }, (_, index) => new Engine(`${MODEL}-${index + 1}`, 'shaping-llm', MODEL, SLOTS, deployment.store, EVENT_INTERVAL_MS, record))
  for (const engine of engines) await engine.listen(async address => await link.addProxy(address))
  await deployment.startEntries(ENTRIES, LIMITS)
  let call = 0
  const nextAddress = () => deployment.entries[call++ % ENTRIES].addresses.listen
  const violations = []
  for (let step = 0; step < STEPS; step++) {
    const id = `step${step}`
    const items = Array.from({ length: GROUPS * GROUP_ITEMS }, (_, index) => {
      const group = Math.floor(index / GROUP_ITEMS)
      const prompt = `${id} ${index} `.padEnd(group < GROUPS / 2 ? SMALL_BYTES : LARGE_BYTES, 'p')
      return { id: `${id}-${index}`, group: `${id}-g${group}`, prompt }
    })
    const body = JSON.stringify({
      step,
      model: MODEL,
      min_version: 1,
      group_count: GROUPS,
      items: items.map(({ id: itemId, group, prompt }, index) => ({
        id: itemId,
        group,
        path: `${PREFIX}${id}/${index}`,
        body: Buffer.from(prompt).toString('base64'),
        tokens: 1016 + EVENTS,
        headers: { Model: MODEL, 'Token-Counts': `1016,${EVENTS}`, 'Prompt-Prefix': `a1:1000,${step}${index}:16` }
      }))
    })
    const submittedAtMs = performance.now()
    const submitted = await send(nextAddress(), { method: 'POST', path: `${PREFIX}${id}`, host: HOST, headers: { 'request-id': id }, body, timeoutMs: 4000 })
    record(`${id}: submission of ${body.length} bytes: ${submitted.status}`)
    if (submitted.status !== 202) throw new Error('the submission was not accepted')
    const acceptedAtMs = performance.now()
    const results = []
    while (results.length < items.length && performance.now() < submittedAtMs + TRAINER_BUDGET_MS) {
      const answer = await send(nextAddress(), { method: 'GET', path: `/api/lots/${id}?after=${results.length}`, host: HOST, headers: { 'wait-ms': '1000' }, timeoutMs: READ_TIMEOUT_MS })
      if (answer.status === 200) results.push(...JSON.parse(answer.body).results)
      await sleep(READ_INTERVAL_MS)
    }
    const endedAtMs = performance.now()
    const listed = new Set(results.map(result => result.id))
    const runs = engines.flatMap(engine => engine.runs).filter(run => run.itemId.startsWith(`${id}-`))
    const counted = runs.filter(run => !run.isEndedBySender || run.endedAtMs - run.startedAtMs >= MIN_RUN_MS)
    const begun = new Set(counted.map(run => run.itemId))
    const waiting = items.filter(item => !listed.has(item.id) && longestGapMs(counted.filter(run => run.itemId === item.id), acceptedAtMs, endedAtMs) >= MAX_WAIT_MS)
    const share = runs.reduce((sum, run) => sum + Math.min(run.endedAtMs, endedAtMs) - run.startedAtMs, 0) / ((endedAtMs - acceptedAtMs) * ENGINES * SLOTS)
    const waitedMs = Math.round(endedAtMs - submittedAtMs)
    record(`${id}: ${results.length} of ${items.length} results read after ${waitedMs} ms; ${begun.size} items began, ${waiting.length} were at no server for 5 s; ${runs.length} runs, ${runs.length - counted.length} of them ended by their sender within a second; share of the places taken: ${share.toFixed(2)}`)
    if (waiting.length > 0 && begun.size > 0 && share < 0.5) violations.push(`${id}: the step ran out of time after ${waitedMs} ms, while ${waiting.length} of ${items.length} items were at no server for 5 s`)
    for (const result of results) if (result.state !== 'completed' || result.text !== textOf(MODEL, items.find(item => item.id === result.id).prompt, EVENTS)) violations.push(`${id}: item ${result.id} is ${result.state} or has another text`)
    const ended = await send(nextAddress(), { method: 'DELETE', path: `/api/lots/${id}`, host: HOST, timeoutMs: 4000 })
    record(`${id}: end: ${ended.status}`)
  }
  link.dispose()
  for (const engine of engines) engine.dispose()
  const ends = deployment.entries.flatMap(entry => entry.logs.filter(text => /event=item_run_ended/.test(text)))
  record(`runs that did not complete, as logged: ${ends.length}, the first: ${ends[0] ?? 'none'}`)
  return violations
})

/** Longest time between `fromMs` and `untilMs` without a run. */
function longestGapMs (runs, fromMs, untilMs) {
  let freeSinceMs = fromMs
  let longestMs = 0
  for (const { startedAtMs, endedAtMs } of runs.toSorted((a, b) => a.startedAtMs - b.startedAtMs)) {
    longestMs = Math.max(longestMs, startedAtMs - freeSinceMs)
    freeSinceMs = Math.max(freeSinceMs, endedAtMs)
  }
  return Math.max(longestMs, untilMs - freeSinceMs)
}
