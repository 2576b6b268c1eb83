import type { Socket } from 'node:net'

// Loaded into every child with `--import`: the child's stdin is a pipe that closes when the process
// that started it is gone, also after SIGKILL, and the child then ends itself.
process.stdin.on('end', () => process.exit(1))
process.stdin.on('error', () => process.exit(1))
process.stdin.resume()
// A child that ends by itself when nothing is left to do must still be able to.
;(process.stdin as unknown as Socket).unref()
