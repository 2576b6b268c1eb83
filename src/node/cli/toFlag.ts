/** Flag of a settings field, for example `--timing-lease-ms` of `timing.lease_ms`. */
export function toFlag (field: string): string {
  return `--${field.replace(/[._]/g, '-')}`
}
