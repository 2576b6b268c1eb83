/** Newest version that a trainer has announced, by model. */
export class AnnouncedVersions {
  private readonly _byModel = new Map<string, { version: number, announcedAtMs: number }>()

  /** Stores a version; returns false if it is not newer than the known one. */
  update (model: string, version: number): boolean {
    const known = this._byModel.get(model)
    if (known !== undefined && known.version >= version) return false
    this._byModel.set(model, { version, announcedAtMs: performance.now() })
    return true
  }

  all (): ReadonlyMap<string, { version: number, announcedAtMs: number }> {
    return this._byModel
  }
}
