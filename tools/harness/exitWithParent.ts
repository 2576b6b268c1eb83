import type { Socket } from 'node:net'

// Loaded into every child process with `--import`. The child's stdin is a pipe from its parent, which closes when
// the parent ends, even after SIGKILL; the child then exits.
process.stdin.on('end', () => process.exit(1))
process.stdin.on('error', () => process.exit(1))
process.stdin.resume()
// The open pipe must not keep a child alive that has no other work left.
;(process.stdin as unknown as Socket).unref()
