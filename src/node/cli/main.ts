#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import { earlySignals } from './earlySignals.js'

// Only the daemon shuts down in an orderly way; other commands are terminated by the signal.
if (process.argv[2] === 'entry') earlySignals.capture()
const { runCli } = await import('./runCli.js')

const packageFile = new URL('../../../../package.json', import.meta.url)
const { version } = JSON.parse(readFileSync(packageFile, 'utf8')) as { version: string }

process.exitCode = await runCli(process.argv, version, {
  out: line => console.log(line),
  err: line => console.error(line),
  env: process.env
})
// Sockets left open by a failed start must not keep the process alive.
if (process.exitCode !== 0) process.exit()
