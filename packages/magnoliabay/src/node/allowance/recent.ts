/** The last few names of something, in bounded memory. */

export interface Recent {
  /** Whether the name is new. */
  add (name: string): boolean
}

export function createRecent (most: number): Recent {
  const names = new Set<string>()
  return {
    add: name => {
      if (names.has(name)) return false
      names.add(name)
      if (names.size > most) names.delete(names.values().next().value!)
      return true
    }
  }
}
