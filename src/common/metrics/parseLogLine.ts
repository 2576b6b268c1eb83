const FIELD = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g

/** Fields of one key=value log line; an empty map for other text. */
export function parseLogLine (line: string): Map<string, string> {
  const fields = new Map<string, string>()
  for (const [, key = '', value = ''] of line.matchAll(FIELD)) {
    fields.set(key, value.startsWith('"') ? value.slice(1, -1).replace(/\\(.)/g, '$1') : value)
  }
  return fields
}
