import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { contractSchema } from '../../src/common/schema/contractSchema.js'
import { readIni } from '../../src/common/settings/readIni.js'
import { Cluster } from './Cluster.js'
import { readExampleContract } from './readExampleContract.js'
import { sha256Hex } from './sha256Hex.js'
import { StandIn } from './StandIn.js'
import { bearerTokens } from './bearerTokens.js'
import { waitUntil } from './waitUntil.js'

// Only ends a run that would wait forever.
const TIMEOUT_MS = 120_000

const WEIGHTS = '/v1/weights/lin-shun/brim/1'

async function answers (address: string): Promise<boolean> {
  return await fetch(`http://${address}/ready`).then(response => response.ok, () => false)
}

/** A process that starts a log, prints its address and then runs the given code. */
async function startParent (code: string) {
  const script = `
    const { StandIn } = await import(${JSON.stringify(new URL('./StandIn.js', import.meta.url).href)})
    const log = new StandIn('log', 'log')
    await log.start()
    console.log(log.address)
    ${code}
  `
  const parent = spawn(process.execPath, ['--input-type=module', '-e', script], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [address] = await once(createInterface({ input: parent.stdout }), 'line')
  return { parent, address: address as string }
}

describe('harness', { timeout: TIMEOUT_MS }, () => {
  it('restarts a killed stand-in at its address', async () => {
    const log = new StandIn('log', 'log')
    try {
      await log.start()
      const { address } = log
      await log.kill()
      expect(await answers(address)).toEqual(false)
      await log.start()
      expect([log.address, await answers(address)]).toEqual([address, true])
    } finally {
      log.dispose()
    }
  })

  it('reports the exit of a service whose request crashes it', async () => {
    const service = new StandIn('kapu-1', 'service')
    try {
      await service.start()
      await expect(service.get('/orders/crash-service')).toBeRejected()
      await service.waitForExit()
      expect(service.exitCode).toEqual(1)
    } finally {
      service.dispose()
    }
  })

  it('names the fault of a process that does not start', async () => {
    const log = new StandIn('log', 'log', { colour: 'red' })
    await expect(log.start()).toBeRejectedWith('colour')
  })

  it('leaves no process behind when the test process is killed', async () => {
    const { parent, address } = await startParent('await new Promise(resolve => setTimeout(resolve, 600_000))')
    expect(await answers(address)).toEqual(true)
    parent.kill('SIGKILL')
    await waitUntil('the child ends', async () => !await answers(address))
  })

  it('does not keep a test process alive that forgets to dispose, and ends the child with it', async () => {
    const { parent, address } = await startParent('')
    if (parent.exitCode === null) await once(parent, 'exit')
    await waitUntil('the child ends', async () => !await answers(address))
  })

  it('leads a connection through the fault proxy and starts the platform of a cluster', async () => {
    const cluster = await Cluster.startWithoutEntries({
      entries: 0,
      services: { 'shaping-llm': { kind: 'engine', count: 2 }, 'order-app': { kind: 'plain', count: 1 } },
      contracts: [],
      isProxied: (from, to) => from === 'shaping-llm-1' && to === 'weights'
    })
    try {
      const { members } = await waitUntil('members appear', async () => {
        const list = await cluster.membership.get('/v1/members')
        return list.members.length === 3 ? list : undefined
      })
      expect(members.map((member: any) => member.id).sort()).toEqual(['order-app-1', 'shaping-llm-1', 'shaping-llm-2'])
      await cluster.weights.put(WEIGHTS, {})
      await cluster.route('shaping-llm-1', 'weights').setFaults({ cut: true })
      const order = { order_id: 'o1', kind: 'load_version', value: { model: 'lin-shun/brim', version: 1 }, fence: 1 }
      const engine = cluster.upstream('shaping-llm-1')
      await engine.post('/v1/orders', order)
      await waitUntil('the load fails', async () => (await engine.get('/v1/state')).last_error !== null)
      await cluster.route('shaping-llm-1', 'weights').setFaults()
      await engine.post('/v1/orders', order)
      await waitUntil('the load is done', async () => (await engine.get('/v1/state')).versions['lin-shun/brim'] === 1)
    } finally {
      await cluster.dispose()
    }
  })

  for (const organisation of ['lin-shun', 'almaskert'] as const) {
    it(`has a valid example contract for ${organisation} with the harness's token`, async () => {
      const contract = readIni(await readExampleContract(organisation), contractSchema)._unsafeUnwrap()
      expect(contract.contract.organisation).toEqual(organisation)
      expect(contract.access.token_sha256).toEqual([sha256Hex(bearerTokens[organisation])])
    })
  }
})
