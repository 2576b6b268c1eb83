import { describe, it } from 'node:test'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'earl'
import { createLogger } from './createLogger.js'

describe('createLogger', () => {
  it('writes one key=value line per event, even when a value contains line breaks', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'log-'))
    const path = join(folder, 'out')
    const { logger, close } = await createLogger('info', 'entry-1', path)
    logger.info({ request: 'r1', organisation: 'lin-shun', text: 'a b\nforged=1' }, 'request_done')
    logger.debug({}, 'hidden')
    await close()
    const lines = (await readFile(path, 'utf8')).trimEnd().split('\n')
    await rm(folder, { recursive: true })
    expect(lines.length).toEqual(1)
    expect(lines[0]).toMatchRegex(/entry=entry-1 request=r1 organisation=lin-shun text="a b\\+nforged=1" event=request_done severity=info$/)
  })
})
