/** A JSON document read over HTTP. */
export interface JsonResponse {
  /** Undefined when the document is unchanged. */
  document: unknown
  etag?: string
  /** True when the server still holds the version named by the sent entity tag. */
  isUnchanged: boolean
}
