import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { join } from 'node:path'

// These tests start a dozen processes each and fail on a small machine when they run in parallel, so their files run one at a time.
const PROCESS_TEST_FOLDERS = ['dist/test', 'dist/chaos', 'dist/tools', 'dist/bench', 'dist/standin', 'dist/demo']
const UNIT_TEST_FOLDERS = ['dist/src', 'dist/platform']
const UNIT_TEST_CONCURRENCY = 4
const TIMEOUT_MS = 120_000

function findTestFiles (folders) {
  return folders.flatMap(folder => readdirSync(folder, { recursive: true })
    .filter(name => name.endsWith('.test.js'))
    .map(name => join(folder, name))).sort()
}

function runTests (folders, concurrency) {
  const options = [`--test-concurrency=${concurrency}`, `--test-timeout=${TIMEOUT_MS}`]
  const { status } = spawnSync(process.execPath, ['--test', ...options, ...findTestFiles(folders)], { stdio: 'inherit' })
  return status ?? 1
}

const statuses = [runTests(UNIT_TEST_FOLDERS, UNIT_TEST_CONCURRENCY), runTests(PROCESS_TEST_FOLDERS, 1)]
process.exitCode = Math.max(...statuses)
