import { build } from 'esbuild'

// Loading one bundled file takes less than half the CPU time of loading some hundred modules.
await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/hyssopvalve-platform.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  // Some bundled libraries are CommonJS and call `require` for built-in modules, which ES modules do not define.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  logLevel: 'warning'
})
