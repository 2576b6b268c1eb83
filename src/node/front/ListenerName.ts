/** Listeners of an entry: for callers, for other entries, and for the load balancer's health check. */
export type ListenerName = 'front' | 'peers' | 'ready'
