import { createServer } from 'node:http'

/** Limits of the platform's store, as its pages and a process's settings give them. */
const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152
const APPEND_MS = 2
const PARTITION_BYTES_PER_MS = 20_000
const MAX_APPEND_WAIT_MS = 2000
const PAGE_RECORDS = 500
const PAGE_BYTES = 1_000_000
const READ_BYTES = 1_048_576
const MAX_READ_WAIT_MS = 30_000
/** Appends of a producer whose repeats receive the first response again. */
const REPEATABLE = 5

const sleep = async ms => await new Promise(resolve => setTimeout(resolve, ms))

class Topic {
  records = []
  newest = new Map()
  producers = new Map()
  waiters = new Set()
  busyUntilMs = 0
  _sortedKeys

  get end () { return this.records.length }

  /** Keys in their order. */
  keys () {
    this._sortedKeys ??= [...this.newest.keys()].sort((a, b) => Buffer.compare(Buffer.from(a), Buffer.from(b)))
    return this._sortedKeys
  }

  push (contents, isKeyed) {
    const offset = this.end
    for (const content of contents) {
      if (isKeyed) this._apply(content, this.end)
      this.records.push(content)
    }
    for (const wake of [...this.waiters]) wake()
    return { offset, end: this.end }
  }

  _apply (content, offset) {
    const key = content.toString('utf8', 1, 1 + content[0])
    const value = content.subarray(1 + content[0])
    if (this.newest.has(key) !== (value.length > 0)) this._sortedKeys = undefined
    if (value.length === 0) this.newest.delete(key)
    else this.newest.set(key, { value, offset })
  }
}

/**
 * Stand-in of the platform's store: log topics with one partition, conditional appends, producers with epochs, newest
 * records by key in pages of at most 500 records or 1 MB. Loses nothing that it has acknowledged.
 */
export class Store {
  _topics = new Map()
  /** Bytes of all bodies of answers and requests. */
  bytes = 0
  /** Called with each call; may return `drop` (no answer, nothing done), `lose` (done, no answer) or a status. */
  fault = () => undefined

  async listen () {
    this._server = createServer((request, response) => { this._serve(request, response).catch(fault => { console.error('store', fault); request.destroy() }) })
    this._server.keepAliveTimeout = 120_000
    await new Promise(resolve => this._server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this._server.address().port}`
  }

  dispose () {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Appends a record as the operator or a server does; without a value, the key is dropped. */
  write (topic, key, value) {
    const keyBytes = Buffer.from(key)
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))
    this._topic(topic).push([Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, bytes])], true)
  }

  /** Newest value of a key, as JSON; undefined if there is none. */
  newestOf (topic, key) {
    const record = this._topic(topic).newest.get(key)
    return record === undefined ? undefined : JSON.parse(record.value.toString())
  }

  keys (topic) { return this._topic(topic).keys() }

  _topic (name) {
    if (!this._topics.has(name)) this._topics.set(name, new Topic())
    return this._topics.get(name)
  }

  async _serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    this.bytes += body.length
    const { pathname, searchParams: query } = new URL(request.url, 'http://store')
    if (request.headers['request-id'] !== undefined) response.setHeader('request-id', request.headers['request-id'])
    const fault = this.fault({ pathname, query })
    if (fault === 'drop') return
    if (typeof fault === 'number') return this._send(response, fault, {})
    const answer = await this._answer(pathname, query, body)
    if (fault === 'lose') return
    if (Buffer.isBuffer(answer)) {
      this.bytes += answer.length
      response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': answer.length }).end(answer)
    } else this._send(response, ...answer)
  }

  _send (response, status, body) {
    const text = JSON.stringify(body)
    this.bytes += text.length
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  async _answer (pathname, query, body) {
    const name = query.get('topic') ?? ''
    if (pathname === '/api/log-append') return await this._append(name, query, body)
    if (pathname === '/api/log-read') return await this._read(name, Number(query.get('from')), Number(query.get('wait_ms') ?? 0), Number(query.get('max_kb') ?? 0) * 1024 || READ_BYTES)
    if (pathname === '/api/log-newest') return this._newest(name, query.get('after') ?? '')
    return [404, {}]
  }

  async _append (name, query, body) {
    if (body.length > CALL_BYTES) return [413, {}]
    if (name === 'keyed.op' || name === 'keyed.servers') return [403, {}]
    const records = []
    for (let at = 0; at < body.length;) {
      const length = body.readUInt32BE(at)
      if (length > RECORD_BYTES || at + 4 + length > body.length) return [400, {}]
      records.push(body.subarray(at + 4, at + 4 + length))
      at += 4 + length
    }
    const topic = this._topic(name)
    const nowMs = performance.now()
    const startMs = Math.max(nowMs, topic.busyUntilMs)
    if (startMs - nowMs > MAX_APPEND_WAIT_MS) return [503, {}]
    topic.busyUntilMs = startMs + APPEND_MS + body.length / PARTITION_BYTES_PER_MS
    await sleep(topic.busyUntilMs - nowMs)
    return this._execute(topic, name, query, records)
  }

  _execute (topic, name, query, records) {
    const at = query.get('at')
    if (at !== null && Number(at) !== topic.end) return [412, { end: topic.end }]
    if (query.get('producer') === null) return [200, topic.push(records, name.startsWith('keyed.'))]
    const epoch = Number(query.get('epoch'))
    const seq = Number(query.get('seq'))
    let producer = topic.producers.get(query.get('producer'))
    if (producer !== undefined && epoch < producer.epoch) return [409, { why: 'fenced' }]
    if (producer === undefined || epoch > producer.epoch) {
      producer = { epoch, nextSeq: undefined, last: [] }
      topic.producers.set(query.get('producer'), producer)
    }
    if (records.length === 0) return [200, { offset: topic.end, end: topic.end }]
    const known = producer.last.find(append => append.seq === seq)
    if (known !== undefined) return [200, known.answer]
    if (producer.nextSeq !== undefined && seq !== producer.nextSeq) return [409, { why: 'seq', seq: producer.nextSeq }]
    const answer = topic.push(records, name.startsWith('keyed.'))
    producer.nextSeq = seq + 1
    producer.last = [...producer.last, { seq, answer }].slice(-REPEATABLE)
    return [200, answer]
  }

  async _read (name, from, waitMs, maxBytes) {
    const topic = this._topic(name)
    if (from >= topic.end && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => { clearTimeout(timer); topic.waiters.delete(wake); resolve() }
        const timer = setTimeout(wake, Math.min(waitMs, MAX_READ_WAIT_MS))
        topic.waiters.add(wake)
      })
    }
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(BigInt(topic.end), 0)
    const parts = [header]
    let bytes = 0
    for (let offset = from; offset < topic.end; offset++) {
      const record = topic.records[offset]
      if (bytes > 0 && bytes + record.length > maxBytes) break
      const length = Buffer.alloc(4)
      length.writeUInt32BE(record.length)
      parts.push(length, record)
      bytes += record.length
    }
    return Buffer.concat(parts)
  }

  _newest (name, after) {
    const topic = this._topic(name)
    const keys = topic.keys()
    let index = 0
    for (let high = keys.length; index < high;) {
      const middle = (index + high) >> 1
      if (Buffer.compare(Buffer.from(keys[middle]), Buffer.from(after)) > 0) high = middle
      else index = middle + 1
    }
    const items = []
    let bytes = 0
    for (; index < keys.length && items.length < PAGE_RECORDS; index++) {
      const { value, offset } = topic.newest.get(keys[index])
      const encoded = value.toString('base64')
      if (items.length > 0 && bytes + encoded.length > PAGE_BYTES) break
      items.push({ key: keys[index], value: encoded, offset })
      bytes += encoded.length
    }
    return [200, { items, has_more: index < keys.length, end: topic.end }]
  }
}
