import { call } from './call.mjs'

const TIMEOUT_MS = 6000

/** Calls of a trainer for one batch submission, each on a channel of its own. */
export class Trainer {
  constructor ({ host, prefix, model, id, step = 1, itemIds, minVersion }) {
    Object.assign(this, { host, prefix, id, itemIds })
    this._body = JSON.stringify({
      step,
      model,
      min_version: minVersion,
      group_count: itemIds.length,
      items: itemIds.map(itemId => ({
        id: itemId,
        group: itemId,
        path: `${prefix}${id}/${itemId}`,
        headers: { Model: model, 'Token-Counts': '40,40', 'Prompt-Prefix': `${itemId}:40` },
        body: Buffer.from(`prompt of ${itemId}`).toString('base64'),
        tokens: 80
      }))
    })
  }

  async submit (front) {
    return await call(front, { method: 'POST', path: `${this.prefix}${this.id}`, headers: { host: this.host, 'request-id': this.id, 'content-type': 'application/json', 'deadline-ms': '12000' }, body: this._body, timeoutMs: TIMEOUT_MS })
  }

  async read (front, after = 0) {
    const answer = await call(front, { method: 'GET', path: `/api/lots/${this.id}?after=${after}`, headers: { host: this.host, 'wait-ms': '500' }, timeoutMs: TIMEOUT_MS })
    return { ...answer, page: answer.status === 200 ? JSON.parse(answer.body) : undefined }
  }

  async end (front) {
    return await call(front, { method: 'DELETE', path: `/api/lots/${this.id}`, headers: { host: this.host }, timeoutMs: TIMEOUT_MS })
  }
}
