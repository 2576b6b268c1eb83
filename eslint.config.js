import neostandard from 'neostandard'

const TEST_FILES = ['**/*.test.ts', '**/test/**', '**/testing/**']
/** What the product must not know: its adapter to the platform, and everything that only runs or tests it. */
const OUTSIDE_OF_SRC = ['platform', 'standin', 'tools', 'chaos', 'bench', 'demo'].map(folder => `**/../${folder}/**`)
/** Imports that `src/common` leaves to its shells. */
const PLATFORM_APIS = ['node:*', '**/node/*', 'undici', 'hono', '@hono/*', 'pino*']
/** Folders of `src/common` that only the own entry uses. Both entries use the interface of the HTTP client in `upstream/client`. */
const ENTRY_FOLDERS = ['admission', 'claim', 'contract', 'crash', 'forward', 'generation', 'lease', 'log', 'peer', 'training', 'upstream/balance', 'weights']
/** Folders of `src/common` that only the entry on the platform uses. */
const PLATFORM_ENTRY_FOLDERS = ['batch', 'call', 'duty', 'fleet', 'organisation', 'routing', 'scaling', 'store', 'suspect', 'usage', 'version']

const foldersOfCommon = folders => folders.map(folder => `src/common/${folder}/**/*.ts`)
const importsOf = folders => folders.map(folder => `**/../${folder}/**`)
const forbidImports = group => ({ 'no-restricted-imports': ['error', { patterns: [{ group, message: 'this folder must not depend on that one' }] }] })

export default [
  ...neostandard({ ts: true, ignores: ['dist/', 'node_modules/', 'src/gen/', 'coverage/', 'target/'] }),
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'standin/**/*.ts', 'bench/**/*.ts', 'tools/**/*.ts'],
    rules: {
      'max-lines': ['error', 300],
      'max-lines-per-function': ['error', 60],
      'max-params': ['error', 8],
      complexity: ['error', 16]
    }
  },
  {
    files: ['**/*.test.ts'],
    rules: { 'max-lines-per-function': 'off' }
  },
  {
    files: ['src/node/**/*.ts'],
    ignores: TEST_FILES,
    rules: forbidImports(OUTSIDE_OF_SRC)
  },
  {
    files: ['src/common/**/*.ts'],
    ignores: TEST_FILES,
    rules: forbidImports([...OUTSIDE_OF_SRC, ...PLATFORM_APIS])
  },
  {
    files: [...foldersOfCommon(ENTRY_FOLDERS), 'src/common/upstream/*.ts'],
    ignores: TEST_FILES,
    rules: forbidImports([...OUTSIDE_OF_SRC, ...PLATFORM_APIS, ...importsOf(PLATFORM_ENTRY_FOLDERS)])
  },
  {
    files: foldersOfCommon(PLATFORM_ENTRY_FOLDERS),
    ignores: TEST_FILES,
    rules: forbidImports([...OUTSIDE_OF_SRC, ...PLATFORM_APIS, ...importsOf(ENTRY_FOLDERS), '**/../upstream/*.js'])
  }
]
