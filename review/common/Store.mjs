import { createServer } from 'node:http'
import { readBody } from './readBody.mjs'

const PAGE_RECORDS = 500
const PAGE_BYTES = 1_000_000
const READ_BYTES = 1_048_576
/** `append_ms`, `partition_mb_s`, `record_bytes` and `call_bytes` of the settings. */
const APPEND_MS = 2
const PARTITION_BYTES_PER_MS = 20_000
const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152
const REMEMBERED_APPENDS = 5

/** Stand-in of the platform's store: topics with one partition each, keyed topics, writers with epochs. */
export class Store {
  /**
   * Decides what happens to an append: `undefined` executes and answers it, `{ lateMs }` executes it after that time and
   * never answers.
   */
  chooseAppendFault = () => undefined
  /** Number of outages so far in which calls got no answer and had no effect. */
  _outages = 0
  _isSilent = false
  _topics = new Map()
  _server = createServer((request, response) => {
    this._serve(request, response).catch(() => response.destroy())
  })

  async listen (host) {
    await new Promise(resolve => this._server.listen(0, host, resolve))
    this.address = `${host}:${this._server.address().port}`
  }

  close () {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Answers and executes nothing for this time. */
  async goSilent (durationMs) {
    this._isSilent = true
    this._outages += 1
    await new Promise(resolve => setTimeout(resolve, durationMs))
    this._isSilent = false
  }

  /** Appends a record as the operator, a trainer or a server; returns its offset. Without a value, the key is deleted. */
  write (topic, key, value) {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))
    return this._apply(this._topic(topic), [Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), bytes])])
  }

  /** The newest value of a key of a keyed topic, as text. */
  newestValue (topic, key) {
    return this._topic(topic).newest.get(key)?.value.toString()
  }

  _topic (name) {
    if (!this._topics.has(name)) this._topics.set(name, { records: [], newest: new Map(), writers: new Map(), waiters: new Set() })
    return this._topics.get(name)
  }

  async _serve (request, response) {
    const body = await readBody(request)
    if (this._isSilent) return
    response.outages = this._outages
    const url = new URL(request.url, 'http://store')
    const query = url.searchParams
    if (url.pathname === '/api/log-append') await this._append(query, body, response)
    else if (url.pathname === '/api/log-read') await this._read(query, response)
    else if (url.pathname === '/api/log-newest') this._newest(query, response)
    else this._send(response, 404)
  }

  async _append (query, body, response) {
    const records = []
    for (let at = 0; at < body.length;) {
      const length = body.readUInt32BE(at)
      records.push(body.subarray(at + 4, at + 4 + length))
      at += 4 + length
    }
    const fault = this.chooseAppendFault(query, records)
    if (fault !== undefined) {
      setTimeout(() => this._execute(query, records), fault.lateMs)
      return
    }
    if (body.length > CALL_BYTES || records.some(record => record.length > RECORD_BYTES)) return this._send(response, 413)
    // A partition processes its appends one at a time.
    const topic = this._topic(query.get('topic'))
    topic.turn = (topic.turn ?? Promise.resolve()).then(async () => await new Promise(resolve => setTimeout(resolve, APPEND_MS + body.length / PARTITION_BYTES_PER_MS)))
    await topic.turn
    if (response.outages !== this._outages) return
    const { status, answer } = this._execute(query, records)
    this._send(response, status, answer)
  }

  _execute (query, records) {
    const topic = this._topic(query.get('topic'))
    const end = topic.records.length
    if (query.has('at') && Number(query.get('at')) !== end) return { status: 412, answer: { end } }
    const name = query.get('producer')
    if (name === null) return { status: 200, answer: { offset: this._apply(topic, records), end: topic.records.length } }
    const epoch = Number(query.get('epoch'))
    const seq = Number(query.get('seq'))
    const known = topic.writers.get(name)
    if (known !== undefined && epoch < known.epoch) return { status: 409, answer: { why: 'fenced' } }
    const writer = known === undefined || epoch > known.epoch ? { epoch, next: undefined, last: [] } : known
    topic.writers.set(name, writer)
    if (records.length === 0) return { status: 200, answer: { offset: end, end } }
    const repeated = writer.last.find(append => append.seq === seq)
    if (repeated !== undefined) return { status: 200, answer: repeated.answer }
    if (writer.next !== undefined && seq !== writer.next) return { status: 409, answer: { why: 'seq', seq: writer.next } }
    const answer = { offset: this._apply(topic, records), end: topic.records.length }
    writer.next = seq + 1
    writer.last = [...writer.last, { seq, answer }].slice(-REMEMBERED_APPENDS)
    return { status: 200, answer }
  }

  _apply (topic, records) {
    const first = topic.records.length
    for (const record of records) {
      const offset = topic.records.push(record) - 1
      const keyEnd = 1 + record[0]
      const key = record.toString('utf8', 1, keyEnd)
      if (record.length > keyEnd) topic.newest.set(key, { key, value: record.subarray(keyEnd), offset })
      else topic.newest.delete(key)
    }
    for (const wake of [...topic.waiters]) wake()
    return first
  }

  async _read (query, response) {
    const topic = this._topic(query.get('topic'))
    const from = Number(query.get('from'))
    if (topic.records.length <= from) await waitForRecord(topic, Number(query.get('wait_ms') ?? 0))
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(BigInt(topic.records.length), 0)
    let bytes = 0
    const parts = topic.records.slice(from).filter(record => (bytes += record.length) <= READ_BYTES || bytes === record.length).flatMap(record => {
      const length = Buffer.alloc(4)
      length.writeUInt32BE(record.length)
      return [length, record]
    })
    this._send(response, 200, Buffer.concat([header, ...parts]))
  }

  _newest (query, response) {
    const topic = this._topic(query.get('topic'))
    const after = query.get('after')
    const keys = [...topic.newest.keys()].sort().filter(key => after === null || key > after)
    const items = []
    let bytes = 0
    for (const key of keys.slice(0, PAGE_RECORDS)) {
      const { value, offset } = topic.newest.get(key)
      bytes += value.length
      if (bytes > PAGE_BYTES && items.length > 0) break
      items.push({ key, value: value.toString('base64'), offset })
    }
    this._send(response, 200, { items, has_more: keys.length > items.length, end: topic.records.length })
  }

  _send (response, status, answer) {
    // A call that an outage has met gets no answer.
    if (response.outages !== this._outages) return
    const body = Buffer.isBuffer(answer) ? answer : answer === undefined ? '' : JSON.stringify(answer)
    response.writeHead(status, { 'content-type': 'application/json' }).end(body)
  }
}

async function waitForRecord (topic, waitMs) {
  await new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer)
      topic.waiters.delete(finish)
      resolve()
    }
    const timer = setTimeout(finish, waitMs)
    topic.waiters.add(finish)
  })
}
