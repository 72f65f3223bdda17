/** `undici` provides types only for its main module. */
declare module 'undici/lib/dispatcher/pool.js' {
  const Pool: unknown
  export default Pool
}

declare module 'undici/lib/api/index.js' {
  const api: unknown
  export default api
}
