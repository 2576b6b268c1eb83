import { parse } from 'ini'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import type { IniError } from './IniError.js'
import { IniLineIndex } from './IniLineIndex.js'
import type { IniOverride } from './IniOverride.js'

type Issue = z.core.$ZodIssue

const TYPE_NAMES: Record<string, string> = {
  object: 'a section',
  record: 'a section',
  array: 'a list of values separated by commas',
  number: 'a number',
  int: 'a whole number',
  string: 'a text',
  boolean: 'true or false'
}
const NUMBER_PATTERN = /^-?\d+(\.\d+)?$/
// Arrays of numbers need one pass for the array and one for its items.
const MAX_CONVERSION_PASSES = 3

/**
 * Reads an INI text by a schema. Sections named `a.b` nest; comma-separated values become arrays
 * and digits become numbers where the schema asks for them. Overrides replace values of the file.
 * All faults are returned by line.
 */
export function readIni<T extends z.ZodType> (text: string, schema: T, overrides: readonly IniOverride[] = []): Result<z.output<T>, IniError[]> {
  const lines = new IniLineIndex(text)
  if (lines.errors.length > 0) return err(lines.errors)
  const data: unknown = JSON.parse(JSON.stringify(parse(text)))
  for (const override of overrides) applyOverride(data, override)
  for (let pass = 0; ; pass++) {
    const parsed = schema.safeParse(data)
    if (parsed.success) return ok(parsed.data)
    const converted = parsed.error.issues.filter(issue => convertAt(data, issue)).length
    if (converted === 0 || pass >= MAX_CONVERSION_PASSES) {
      return err(parsed.error.issues.flatMap(issue => toErrors(issue, lines, data)).map(error => withSource(error, overrides)))
    }
  }
}

function applyOverride (data: any, override: IniOverride): void {
  const [section = '', key = ''] = override.field.split('.')
  if (typeof data[section] !== 'object' || data[section] === null) data[section] = {}
  data[section][key] = override.value
}

function withSource (error: IniError, overrides: readonly IniOverride[]): IniError {
  const override = overrides.find(candidate => candidate.field === error.field)
  return override === undefined ? error : { ...error, source: override.source }
}

function convertAt (data: unknown, issue: Issue): boolean {
  if (issue.code !== 'invalid_type') return false
  const parent = issue.path.slice(0, -1).reduce<any>((node, key) => node?.[key], data)
  const key = issue.path.at(-1)
  const value: unknown = key === undefined ? undefined : parent?.[key]
  const converted = convert(value, issue.expected)
  if (key === undefined || converted === undefined) return false
  parent[key] = converted
  return true
}

function convert (value: unknown, expected: string): unknown {
  if ((expected === 'number' || expected === 'int') && typeof value === 'string') {
    return NUMBER_PATTERN.test(value) ? Number(value) : undefined
  }
  if (expected === 'array' && typeof value === 'string') {
    return value.split(',').map(item => item.trim()).filter(item => item !== '')
  }
  // The INI library turns `true`, `false` and `null` into their types even where a string is meant.
  if (expected === 'string' && (typeof value === 'boolean' || value === null)) return String(value)
  return undefined
}

function toErrors (issue: Issue, lines: IniLineIndex, data: unknown): IniError[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => {
      const path = [...issue.path, key]
      return { line: lines.findLine(path), field: path.join('.'), rule: 'unknown section or key' }
    })
  }
  return [{ line: lines.findLine(issue.path), field: issue.path.join('.'), rule: describeRule(issue, data) }]
}

/** Replaces the schema library's wording of types, which speaks of objects where the file has sections. */
function describeRule (issue: Issue, data: unknown): string {
  if (issue.code !== 'invalid_type') return issue.message
  const name = TYPE_NAMES[issue.expected] ?? issue.expected
  const value = issue.path.reduce<any>((node, key) => node?.[key], data)
  return value === undefined ? `is missing, must be ${name}` : `must be ${name}`
}
