import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { splitBytes } from '../../common/kernel/test/splitBytes.js'
import { textArbitrary } from '../../common/kernel/test/textArbitrary.js'
import { SseParser } from './SseParser.js'

const MAX_EVENT_CHARS = 10_000
const streamArbitrary = fc.record({
  events: fc.array(fc.array(textArbitrary, { minLength: 1, maxLength: 3 }), { maxLength: 4 }),
  lineEnd: fc.constantFrom('\n', '\r\n', '\r'),
  prefix: fc.constantFrom('', '\ufeff')
})

// Guards against text of a generation that differs from what the engine sent.
describe('SseParser', () => {
  it('returns the data of each event unchanged, wherever its bytes are split', () => {
    fc.assert(fc.property(streamArbitrary, fc.array(fc.nat(), { maxLength: 20 }), ({ events, lineEnd, prefix }, cuts) => {
      // The comment tells a carriage return at the end from the first half of a line end.
      const text = `${prefix}${events.map(lines => [...lines.map(line => `data: ${line}`), '', ''].join(lineEnd)).join('')}:`
      const parser = new SseParser(MAX_EVENT_CHARS)
      const parsed = splitBytes(new TextEncoder().encode(text), cuts).flatMap(chunk => parser.push(chunk) ?? [])
      expect(parsed).toEqual(events.map(lines => lines.join('\n')))
    }))
  })
})
