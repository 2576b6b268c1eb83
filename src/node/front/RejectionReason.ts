/** Why a client was rejected or its connection closed. */
export type RejectionReason =
  /** The configured limit of a header section. */
  | 'header_bytes'
  /** The configured limit of a body. */
  | 'body_bytes'
  /** A header section was not complete in time. */
  | 'header_timeout'
  /** A body made no progress, or too little. */
  | 'body_timeout'
  /** Too many bodies arrived in tiny chunks. */
  | 'tiny_chunks'
  /** Too many requests were sent before the responses to earlier ones on the same connection. */
  | 'requests_ahead'
  /** A response was not read. */
  | 'response_timeout'
  /** Another client needed the descriptor, or all were in use by requests that may run. */
  | 'connections'
  /** Another client needed the memory, or there was none left. */
  | 'memory'
  /** Too many requests were running. */
  | 'running_requests'
