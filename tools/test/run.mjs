import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { join } from 'node:path'

// These tests start a dozen processes each and fail on a small machine when they run in parallel, so their files run one at a time.
const PROCESS_TEST_FOLDERS = ['dist/test', 'dist/platform/soak', 'dist/chaos', 'dist/tools', 'dist/bench', 'dist/standin', 'dist/demo']
const UNIT_TEST_FOLDERS = ['dist/src', 'dist/platform']
const isProcessTest = file => PROCESS_TEST_FOLDERS.some(folder => file.startsWith(`${folder}/`))
const UNIT_TEST_CONCURRENCY = 4
const TIMEOUT_MS = 120_000

function findTestFiles (folders) {
  return folders.flatMap(folder => readdirSync(folder, { recursive: true })
    .filter(name => name.endsWith('.test.js'))
    .map(name => join(folder, name))).sort()
}

function runTests (files, concurrency) {
  const options = [`--test-concurrency=${concurrency}`, `--test-timeout=${TIMEOUT_MS}`]
  const { status } = spawnSync(process.execPath, ['--test', ...options, ...files], { stdio: 'inherit' })
  return status ?? 1
}

const unitTests = findTestFiles(UNIT_TEST_FOLDERS).filter(file => !isProcessTest(file))
const statuses = [runTests(unitTests, UNIT_TEST_CONCURRENCY), runTests(findTestFiles(PROCESS_TEST_FOLDERS), 1)]
process.exitCode = Math.max(...statuses)
