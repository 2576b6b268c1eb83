import { build } from 'esbuild'

// One file starts in less than half the processor time of some hundred modules.
await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/hyssopvalve-platform.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  // Some libraries are CommonJS and call require for modules of the runtime.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  logLevel: 'warning'
})
