/** Streams of the platform's log that the system uses. */
export type StreamName = 'contracts' | 'claims' | 'steps' | 'leases'
