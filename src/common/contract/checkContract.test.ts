import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { ServiceSettings } from '../settings/ServiceSettings.js'
import { auditEntries } from './auditEntries.js'
import { checkContract } from './checkContract.js'
import { checkContractSettings } from './checkContractSettings.js'
import { diffContracts } from './diffContracts.js'
import { parseContract } from './parseContract.js'
import { contractText } from './test/contractText.js'

const WORK = `
[work.ticket]
service = order-app
kind = call
path = /tickets
deadline_ms = 800
repeat = never

[work.advice]
service = shaping-llm
kind = generation
deadline_ms = 5000
trainer = brim

[trainer.brim]
service = shaping-llm
staleness_versions = 1
step_deadline_s = 120
weights_every_s = 240
scorer = scorer
`
const TEXT = contractText('a', 1) + WORK

function errorsOf (text: string): string[] {
  return checkContract(parseContract('a', text)._unsafeUnwrap(), text).map(error => `${error.line} ${error.field}`)
}

function settingsErrorsOf (text: string): string[] {
  const services = [['order-app', 'plain'], ['shaping-llm', 'engine'], ['scorer', 'plain']]
    .map(([name, kind]) => ({ name, kind }) as ServiceSettings)
  const contract = parseContract('a', text)._unsafeUnwrap()
  return checkContractSettings(contract, text, { retentionMs: 60_000, services }).map(error => `${error.line} ${error.field}`)
}

describe('checks between fields of a contract', () => {
  it('accept a consistent contract', () => {
    expect([...errorsOf(TEXT), ...settingsErrorsOf(TEXT)]).toEqual([])
  })

  for (const [before, after, expected] of [
    ['trainer = brim', 'trainer = crown', '23 work.advice.trainer'],
    ['[trainer.brim]\nservice = shaping-llm', '[trainer.brim]\nservice = other-llm', '23 work.advice.trainer'],
    ['scorer = scorer', 'scorer = shaping-llm', '30 trainer.brim.scorer'],
    ['deadline_ms = 800', 'deadline_ms = 10000', '16 work.ticket.deadline_ms'],
    ['[work.advice]', '[work.other]\nservice = order-app\nkind = call\npath = /tickets\ndeadline_ms = 9\n[work.advice]'.replace('= 9', '= 90'), '22 work.other.path']
  ] as const) {
    it(`report ${expected} for ${after.split('\n')[0]}`, () => {
      expect(errorsOf(TEXT.replace(before, after))).toEqual([expected])
    })
  }

  it('report a key window of a third of retention and services of the wrong kind', () => {
    const text = TEXT.replace('key_window_s = 10', 'key_window_s = 20').replace('scorer = scorer', 'scorer = nobody').replace('order-app', 'shaping-llm')
    expect(settingsErrorsOf(text)).toEqual(['10 limits.key_window_s', '13 work.ticket.service', '30 trainer.brim.scorer'])
  })
})

describe('audit trail', () => {
  it('lists changed fields before and after, and no changes when the preceding revision is unknown', () => {
    const [one, two] = [1, 2].map(share => parseContract('a', contractText('a', share))._unsafeUnwrap())
    expect(diffContracts(one, two)).toEqual([{ field: 'limits.share', before: '1', after: '2' }])
    const entry = { organisation: 'a', operator: 'mei', atMs: 5, text: '' }
    const history = [one, two, two].map((contract, index) => ({ ...entry, contract: contract as NonNullable<typeof one>, revision: [4, 5, 7][index] ?? 0 }))
    expect(auditEntries(history).map(item => [item.revision, item.isPrecedingKnown, item.changes.length]))
      .toEqual([[4, false, 0], [5, true, 1], [7, false, 0]])
  })
})
