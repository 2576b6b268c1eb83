import { runLogReader } from './runLogReader.js'

// A reader such as `head` closes the pipe once it has seen enough.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error
  process.exit()
})

process.exitCode = await runLogReader(process.argv, {
  out: line => console.log(line),
  err: line => console.error(line),
  stdin: process.stdin
})
