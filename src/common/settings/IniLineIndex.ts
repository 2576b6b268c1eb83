import type { IniError } from './IniError.js'

const SECTION_PATTERN = /^\[([^\]]+)\]\s*$/
const KEY_PATTERN = /^([^=\s][^=]*?)\s*=/

/** Line numbers of the sections and keys of an INI text, and faults of its syntax. */
export class IniLineIndex {
  readonly errors: IniError[] = []
  private readonly _lines = new Map<string, number>()

  constructor (text: string) {
    let section = ''
    for (const [index, raw] of text.split(/\r?\n/).entries()) {
      const line = raw.trim()
      if (line === '' || line.startsWith(';') || line.startsWith('#')) continue
      section = this._scanLine(line, index + 1, section)
    }
  }

  /** Line of a field, or of the closest enclosing section, or 1. */
  findLine (path: readonly PropertyKey[]): number {
    for (let length = path.length; length > 0; length--) {
      const line = this._lines.get(path.slice(0, length).join('.'))
      if (line !== undefined) return line
    }
    return 1
  }

  private _scanLine (line: string, lineNumber: number, section: string): string {
    const sectionName = SECTION_PATTERN.exec(line)?.[1]?.trim()
    if (sectionName !== undefined) {
      this._add(sectionName, lineNumber, 'section')
      return sectionName
    }
    const key = KEY_PATTERN.exec(line)?.[1]
    if (key === undefined) {
      this.errors.push({ line: lineNumber, field: section, rule: 'a line must be a [section], key = value or a comment' })
    } else {
      this._add(section === '' ? key : `${section}.${key}`, lineNumber, 'key')
    }
    return section
  }

  private _add (name: string, lineNumber: number, what: string): void {
    const earlier = this._lines.get(name)
    if (earlier !== undefined) {
      this.errors.push({ line: lineNumber, field: name, rule: `${what} stands already on line ${earlier}` })
      return
    }
    this._lines.set(name, lineNumber)
  }
}
