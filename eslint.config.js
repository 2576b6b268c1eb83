import neostandard from 'neostandard'

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
    files: ['src/common/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: ['node:*', '**/node/*', 'undici', 'hono', '@hono/*', 'pino*'] }]
    }
  }
]
