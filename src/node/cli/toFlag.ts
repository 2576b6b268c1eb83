/** Returns the command line flag of a settings field, for example `--timing-lease-ms` for `timing.lease_ms`. */
export function toFlag (field: string): string {
  return `--${field.replace(/[._]/g, '-')}`
}
