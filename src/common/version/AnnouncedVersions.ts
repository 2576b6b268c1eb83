/** The newest version that a trainer has named of each model. */
export class AnnouncedVersions {
  private readonly _byModel = new Map<string, { version: number, namedAtMs: number }>()

  update (model: string, version: number): boolean {
    const known = this._byModel.get(model)
    if (known !== undefined && known.version >= version) return false
    this._byModel.set(model, { version, namedAtMs: performance.now() })
    return true
  }

  all (): ReadonlyMap<string, { version: number, namedAtMs: number }> {
    return this._byModel
  }
}
