/** The library types only its whole. */
declare module 'undici/lib/dispatcher/pool.js' {
  const Pool: unknown
  export default Pool
}
