import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** The lines of `record.txt` in the folder of a case. */
export class Record {
  _lines = []
  _startedAtMs = performance.now()

  constructor (folder) { this._file = join(folder, 'record.txt') }

  add = line => {
    this._lines.push(`${((performance.now() - this._startedAtMs) / 1000).toFixed(2).padStart(7)} s  ${line}`)
    writeFileSync(this._file, `${this._lines.join('\n')}\n`)
  }
}
