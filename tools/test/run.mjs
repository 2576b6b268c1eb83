import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { join } from 'node:path'

// Tests that start a dozen processes each are red beside one another on a small machine, so their files run one by one.
const PROCESS_TESTS = ['dist/test', 'dist/chaos', 'dist/tools', 'dist/bench', 'dist/standin', 'dist/demo']
const UNIT_TESTS = ['dist/src', 'dist/platform']
const UNIT_CONCURRENCY = 4
const TIMEOUT_MS = 120_000

function testFiles (folders) {
  return folders.flatMap(folder => readdirSync(folder, { recursive: true })
    .filter(name => name.endsWith('.test.js'))
    .map(name => join(folder, name))).sort()
}

function run (folders, concurrency) {
  const options = [`--test-concurrency=${concurrency}`, `--test-timeout=${TIMEOUT_MS}`]
  const { status } = spawnSync(process.execPath, ['--test', ...options, ...testFiles(folders)], { stdio: 'inherit' })
  return status ?? 1
}

const statuses = [run(UNIT_TESTS, UNIT_CONCURRENCY), run(PROCESS_TESTS, 1)]
process.exitCode = Math.max(...statuses)
