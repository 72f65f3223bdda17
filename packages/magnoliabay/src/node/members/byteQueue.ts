/**
 * Queue of bytes that arrive in chunks and are taken in other sizes. Each byte is copied at most once: joining all
 * chunks on every arrival takes quadratic time for a large frame in small packets.
 */
export interface ByteQueue {
  push (chunk: Buffer): void
  /** Number of bytes in the queue. */
  size (): number
  /** Removes and returns the first `count` bytes, which must be in the queue. */
  take (count: number): Buffer
}

export function createByteQueue (): ByteQueue {
  let chunks: Buffer[] = []
  let size = 0

  /** Number of chunks that hold the first `count` bytes. */
  const chunksFor = (count: number): number => {
    let total = 0
    const last = chunks.findIndex(chunk => {
      total += chunk.length
      return total >= count
    })
    return last + 1
  }
  return {
    push: chunk => {
      chunks.push(chunk)
      size += chunk.length
    },
    size: () => size,
    take: count => {
      size -= count
      const first = chunks[0]
      if (first !== undefined && first.length > count) {
        chunks[0] = first.subarray(count)
        return first.subarray(0, count)
      }
      const used = chunksFor(count)
      const joined = used === 1 ? chunks[0]! : Buffer.concat(chunks.slice(0, used))
      const rest = joined.subarray(count)
      chunks = chunks.slice(used)
      if (rest.length > 0) chunks.unshift(rest)
      return joined.subarray(0, count)
    }
  }
}
