const FIELD_PATTERN = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g

/** Parses the fields of one key=value log line; other text gives an empty map. */
export function parseLogLine (line: string): Map<string, string> {
  const fields = new Map<string, string>()
  for (const [, key = '', value = ''] of line.matchAll(FIELD_PATTERN)) {
    fields.set(key, value.startsWith('"') ? value.slice(1, -1).replace(/\\(.)/g, '$1') : value)
  }
  return fields
}
