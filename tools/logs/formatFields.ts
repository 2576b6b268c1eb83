/** Formats fields as logfmt. Control characters are escaped, so that no log line can control the terminal. */
export function formatFields (fields: Iterable<readonly [string, string | number]>): string {
  return Array.from(fields, ([key, value]) => `${key}=${formatValue(String(value))}`).join(' ')
}

function formatValue (value: string): string {
  const text = value.replace(/[\p{Cc}\p{Cf}]/gu, char => `\\u${char.codePointAt(0)!.toString(16).padStart(4, '0')}`)
  return text === '' || /[\s"=]/.test(text) ? `"${text.replaceAll('"', '\\"')}"` : text
}
