import type { ApiError } from './ApiError.js'

/** Builds the body of an error response. */
export function toErrorBody (error: ApiError): { error: Record<string, unknown> } {
  const { kind, message, field, outcome, details } = error
  return { error: { kind, message, ...(field === undefined ? {} : { field }), outcome, ...details } }
}
