/** The library types only its whole. */
declare module 'undici/lib/dispatcher/pool.js' {
  const Pool: unknown
  export default Pool
}

declare module 'undici/lib/api/index.js' {
  const api: unknown
  export default api
}
