import { after, before, describe, it } from 'node:test'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Readable } from 'node:stream'
import { expect } from 'earl'
import { runLogReader } from './runLogReader.js'

const ID = '0123456789012345'
const at = (second: number, entry: string, text: string): string => `  ${second.toFixed(4)} host-${entry} level=30 time=2026-02-08T03:27:${10 + second}+0000 entry=${entry} ${text} severity=info\n`

const LOG = [
  at(0, 'e1', 'leader=10.0.0.1:1 epoch=5 own=true released=false event=leader_changed'),
  at(1, 'e1', `batch=${ID} step=0 items=2 outcome=accepted event=batch_submitted`),
  at(2, 'e1', `batch=${ID} item=i1 outcome=complete event=item_run_ended`),
  at(3, 'e1', `batch=${ID} item=i2 outcome=broken reason="reset: \\"gone\\"" event=item_run_ended`),
  at(4, 'e1', `batch=${ID} results=1 items=2 outcome=accepted event=batch_ended`),
  at(5, 'e2', 'leader=10.0.0.2:1 epoch=9 own=true released=false event=leader_changed'),
  at(7, 'e3', `request="" target="/api/lots/${ID}?after=0" leader=10.0.0.1:1 may_have_run=true event=leader_not_reached`),
  at(8, 'e2', `batch=${ID} reason=no_lease epoch=9 event=batch_not_served`),
  at(8, 'e2', `batch=${ID}6 reason=no_lease epoch=9 event=batch_not_served`),
  at(9, 'e1', 'epoch=9 batches=1 event=batches_restored')
]
const LATE_LINE = at(6, 'e2', 'epoch=9 reason="timeout" event=batches_not_restored')

describe('runLogReader', () => {
  let folder: string
  before(async () => { folder = await mkdtemp(join(tmpdir(), 'logs-')) })
  after(async () => { await rm(folder, { recursive: true }) })

  async function run (args: string[], input: string | Buffer = '', isTTY = false): Promise<{ exitCode: number, out: string[], err: string[] }> {
    const [out, err]: [string[], string[]] = [[], []]
    const stdin = Object.assign(Readable.from([Buffer.from(input)]), { isTTY })
    const exitCode = await runLogReader(['node', 'logs', ...args], { out: line => out.push(line), err: line => err.push(line), stdin })
    return { exitCode, out, err }
  }

  it('shows the life of a batch in order of time, and its summary', async () => {
    const { exitCode, out } = await run(['--batch', ID], [...LOG, LATE_LINE].join(''))
    expect(exitCode).toEqual(0)
    expect(out).toEqual([
      '    1.0000 e1 batch_submitted step=0 items=2 outcome=accepted epoch=5',
      '    3.0000 e1 item_run_ended item=i2 outcome=broken reason="reset: \\"gone\\""',
      '    4.0000 e1 batch_ended results=1 items=2 outcome=accepted',
      '    5.0000 e2 leader_changed leader=10.0.0.2:1 epoch=9 own=true released=false',
      '    6.0000 e2 batches_not_restored epoch=9 reason=timeout',
      `    7.0000 e3 leader_not_reached request="" target="/api/lots/${ID}?after=0" leader=10.0.0.1:1 may_have_run=true`,
      '    8.0000 e2 batch_not_served reason=no_lease epoch=9',
      `summary batch=${ID} accepted_at=1.0000 accepted_by=e1 accepted_epoch=5 ended_at=4.0000 results=1/2 failed_reads=2 last_leader=e2 last_leader_address=10.0.0.2:1 last_epoch=9`,
      'failed_reads count=1 entry=e3 event=leader_not_reached reason="leader 10.0.0.1:1"',
      'failed_reads count=1 entry=e2 event=batch_not_served reason=no_lease'
    ])
  })

  // Guards against a log of several entries being shown in the order of the files.
  it('merges files without simulated time by their time of day', async () => {
    const lines = LOG.map(line => line.replace(/^.*(?=level)/, ''))
    const files = [join(folder, 'late.log'), join(folder, 'early.log')]
    await writeFile(files[0]!, lines.slice(4).join(''))
    await writeFile(files[1]!, lines.slice(0, 4).join(''))
    const { out } = await run([`--batch=${ID}`, ...files])
    expect(out.map(line => line.split(' ')[2])).toEqual(['batch_submitted', 'item_run_ended', 'batch_ended', 'leader_changed', 'leader_not_reached', 'batch_not_served', 'accepted_at=2026-02-08T03:27:11+0000', 'entry=e3', 'entry=e2'])
  })

  // Guards against an acceptance without its epoch: logged times are to the second, and a leader often accepts at once.
  it('keeps the order of lines of the same second', async () => {
    const lines = LOG.slice(0, 2).map(line => line.replace(/^.*(?=level)/, '').replace('27:10', '27:11'))
    const { out } = await run(['--batch', ID], lines.join(''))
    expect(out.map(line => / (?:accepted_)?epoch=(\d+)/.exec(line)?.[1])).toEqual(['5', '5'])
  })

  it('shows all events of an item, with begin and end of its batch', async () => {
    const { out } = await run(['--item', 'i1'], LOG.join(''))
    expect(out.map(line => line.trim().split(' ')[2])).toEqual(['batch_submitted', 'item_run_ended', 'batch_ended', 'accepted_at=1.0000'])
  })

  it('finds a request by its field', async () => {
    const { exitCode, out } = await run(['--request', 'q1'], at(1, 'e1', 'request=q1 outcome=unknown reason=timeout event=call_failed'))
    expect(exitCode).toEqual(0)
    expect(out).toEqual(['    1.0000 e1 call_failed outcome=unknown reason=timeout', 'summary request=q1 failed_reads=0 last_leader=unknown'])
  })

  // Guards against a damaged log ending the command, and against escape sequences in it reaching the terminal.
  it('reads past bytes that are no UTF-8, other text and broken lines, and escapes control characters', async () => {
    const damaged = Buffer.concat([Buffer.from('built in 0.1 s\n\n"=\n'), Buffer.from(at(1, 'e1', `batch=${ID} reason="\x1b[2J?" event=batch_not_served`).replace('?', '\xff'), 'latin1'), Buffer.from(`batch=${ID} event=batch_en`)])
    const { exitCode, out } = await run(['--batch', ID], damaged)
    expect(exitCode).toEqual(0)
    expect(out[0]).toEqual('    1.0000 e1 batch_not_served reason=\\u001b[2J\uFFFD')
  })

  it('rejects bad input with exit code 2 and a message', async () => {
    const missing = join(folder, 'missing.log')
    const cases: Array<[string[], RegExp]> = [
      [['--batch', ID, missing], /missing\.log: cannot be read: ENOENT/],
      [['--batch', ID, folder], /cannot be read: EISDIR/],
      [[], /exactly one of --batch ID/],
      [['--batch', ID, '--item', 'i1'], /exactly one of --batch ID/],
      [['--batch'], /value is missing/],
      [['--batch', 'a b'], /must be an id/],
      [['--item', ID, '--verbose'], /[Uu]nknown option/]
    ]
    for (const [args, message] of cases) {
      const { exitCode, out, err } = await run(args, LOG.join(''))
      expect([exitCode, out]).toEqual([2, []])
      expect(err.join('\n')).toMatchRegex(message)
    }
    expect((await run(['--batch', ID], '', true)).exitCode).toEqual(2)
  })

  it('says with exit code 1 that no line is about the id', async () => {
    const { exitCode, err } = await run(['--batch', 'b9'], LOG.join(''))
    expect([exitCode, err]).toEqual([1, ['no log line is about batch b9']])
  })
})
