/** What a run waits for: its connection, that its body is sent, the response of its engine, or further events of that response. */
export type RunWait = 'connection' | 'body' | 'response' | 'events'
