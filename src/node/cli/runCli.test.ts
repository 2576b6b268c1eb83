import { after, before, beforeEach, describe, it } from 'node:test'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import { HttpTestFixture } from '../http/testing/HttpTestFixture.js'
import { loadSettings } from './loadSettings.js'
import { runCli } from './runCli.js'

const SETTINGS = `[entry]
id = entry-1
failure_domain = steam-hall
listen = 127.0.0.1:8080
peer = 127.0.0.1:8081
rpc = 127.0.0.1:8082
peer_key_file = KEYFILE
[platform]
log = 127.0.0.1:9000
membership = 127.0.0.1:9001
`

describe('runCli', () => {
  let fixture: HttpTestFixture
  let folder: string
  let contractFile: string
  let settingsFile: string
  let outputLines: string[]
  let errorLines: string[]
  let env: Record<string, string>
  const io = { out: (line: string) => { outputLines.push(line) }, err: (line: string) => { errorLines.push(line) }, get env () { return env } }
  const run = async (...args: string[]): Promise<number> => await runCli(['node', 'hyssopvalve', ...args], '0.1.0', io)

  before(async () => {
    fixture = await new HttpTestFixture().start()
    folder = await mkdtemp(join(tmpdir(), 'cli-'))
    contractFile = join(folder, 'contract.ini')
    settingsFile = join(folder, 'entry.ini')
    await writeFile(contractFile, fixture.contracts[0]?.text ?? '')
    await writeFile(join(folder, 'key'), '0123456789abcdef\n')
    await writeFile(settingsFile, SETTINGS.replace('KEYFILE', join(folder, 'key')))
  })
  after(async () => {
    fixture.server.dispose()
    await rm(folder, { recursive: true })
  })
  beforeEach(() => {
    outputLines = []
    errorLines = []
    env = { HYSSOPVALVE_ADMIN: fixture.url.replace('http://', ''), HYSSOPVALVE_TOKEN: 'operator-token' }
  })

  it('names file, line, field and rule of each error and exits with 2', async () => {
    const faulty = join(folder, 'faulty.ini')
    await writeFile(faulty, (fixture.contracts[0]?.text ?? '').replace('deadline_ms = 800', 'deadline_ms = soon'))
    expect(await run('contract', 'check', faulty)).toEqual(2)
    expect(errorLines[0]).toMatchRegex(/faulty\.ini:12: work\.lookup\.deadline_ms: .+/)
    await writeFile(faulty, SETTINGS.replace('127.0.0.1:8080', 'localhost:8080'))
    errorLines = []
    expect(await run('entry', '--config', faulty)).toEqual(2)
    expect(errorLines[0]).toMatchRegex(/faulty\.ini:4: entry\.listen: must be ip:port/)
    errorLines = []
    expect(await run('entry', '--config', settingsFile, '--timing-lease-ms', '5')).toEqual(2)
    expect(errorLines[0]).toMatchRegex(/^--timing-lease-ms: timing\.lease_ms: /)
    errorLines = []
    await writeFile(faulty, `${fixture.contracts[0]?.text ?? ''}\n[work.draft]\nservice = shaping-llm\nkind = generation\ndeadline_ms = 1000\ntrainer = nobody\n`)
    expect(await run('contract', 'check', faulty)).toEqual(2)
    expect(errorLines[0]).toMatchRegex(/work\.draft\.trainer: this contract has no section/)
    expect(await run('contract', 'check', contractFile)).toEqual(0)
    expect(outputLines).toEqual(['valid contract of lin-shun'])
  })

  it('gives flags precedence over variables and variables over the file, and reads the key file', () => {
    env = { HYSSOPVALVE_ENTRY_LISTEN: '127.0.0.1:1000', HYSSOPVALVE_TIMING_LEASE_MS: '4000' }
    const settings = loadSettings(settingsFile, { entryListen: '127.0.0.1:2000' }, io)
    expect([settings.listenAddress, settings.leaseMs, settings.peerKey]).toEqual(['127.0.0.1:2000', 4000, '0123456789abcdef'])
  })

  it('publishes with the base revision and reports conflicts with exit code 1', async () => {
    let args: any[] = []
    fixture.publish = (...given) => { args = given; return okAsync({ ...fixture.contracts[0], revision: 4, atMs: 0 }) }
    expect(await run('contract', 'publish', contractFile, '--base-revision', '3')).toEqual(0)
    expect(args.slice(0, 3)).toEqual(['lin-shun', 3, 'mei'])
    expect(outputLines).toEqual(['published organisation=lin-shun revision=4 operator=mei time=1970-01-01T00:00:00.000Z'])
    fixture.publish = () => errAsync({ kind: 'contract_conflict', message: 'another revision was first', currentRevision: 5 })
    expect(await run('contract', 'publish', contractFile, '--base-revision', '3')).toEqual(1)
    expect(errorLines).toEqual(['contract_conflict: another revision was first (current revision 5), outcome not_run'])
    expect(await run('contract', 'publish', contractFile)).toEqual(2)
    expect(await run('contract', 'publish', contractFile, '--base-revision', 'x')).toEqual(2)
  })

  it('shows contract, history, differences, status and audit trail', async () => {
    expect(await run('contract', 'show', 'lin-shun')).toEqual(0)
    expect(outputLines[0]).toInclude('organisation = lin-shun')
    expect(await run('contract', 'history', 'lin-shun')).toEqual(0)
    expect(outputLines[1]).toInclude('revision=3')
    expect(await run('contract', 'diff', 'lin-shun')).toEqual(0)
    expect(await run('status')).toEqual(0)
    expect(JSON.parse(outputLines[3] ?? '').entry).toEqual('entry-1')
    expect(await run('audit')).toEqual(0)
    expect(outputLines.length).toEqual(6)
    expect(await run('contract', 'show', 'nobody')).toEqual(1)
  })

  it('reports missing or invalid arguments with exit code 2', async () => {
    for (const args of [[], ['nonsense'], ['status', '--colour'], ['contract', 'show'], ['contract', 'burn', 'x'], ['entry'], ['status', '--admin', 'localhost:1'], ['status', '--token', '007']]) {
      errorLines = []
      expect([args, await run(...args), errorLines.length]).toEqual([args, 2, 1])
    }
    env = {}
    expect(await run('status')).toEqual(2)
  })

  it('exits with 1 when the entry cannot be reached, and reports that the outcome is unknown', async () => {
    expect(await run('contract', 'publish', contractFile, '--base-revision', '3', '--admin', '127.0.0.1:1')).toEqual(1)
    expect(errorLines[0]).toInclude('not known whether the change took effect')
  })
})
