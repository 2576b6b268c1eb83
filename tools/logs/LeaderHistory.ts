import type { LogEvent } from './LogEvent.js'

interface Term { readonly epoch: number, readonly address: string, holder?: string }

/** Who led in which epoch, from the leader events of all entries in order of time. */
export class LeaderHistory {
  private readonly _terms = new Map<number, Term>()
  private readonly _heldEpochs = new Map<string, number>()

  /** Takes the next event. */
  add ({ name, entry, fields }: LogEvent): void {
    const epoch = Number(fields.get('epoch'))
    if (name === 'leadership_lost') this._heldEpochs.delete(entry)
    if (name === 'batches_restored') this._heldEpochs.set(entry, epoch)
    if (name !== 'leader_changed') return
    const term = this._terms.get(epoch) ?? { epoch, address: fields.get('leader') ?? 'unknown' }
    this._terms.set(epoch, term)
    this._heldEpochs.delete(entry)
    if (fields.get('own') !== 'true' || fields.get('released') === 'true') return
    term.holder = entry
    this._heldEpochs.set(entry, epoch)
  }

  /** Epoch in which an entry leads as far as it knows, if it does. */
  heldEpoch (entry: string): number | undefined {
    return this._heldEpochs.get(entry)
  }

  /** Leader of the highest epoch, also if it has been learned out of order. */
  latest (): Term | undefined {
    return [...this._terms.values()].reduce<Term | undefined>((latest, term) => latest === undefined || term.epoch > latest.epoch ? term : latest, undefined)
  }
}
