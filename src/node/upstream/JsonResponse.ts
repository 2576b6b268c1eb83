/** A JSON document read over HTTP. */
export interface JsonResponse {
  /** Undefined when the document is unchanged. */
  document: unknown
  etag?: string
  /** True when the server responded with 304: the document still matches the entity tag that was sent. */
  isUnchanged: boolean
}
