/** A configuration of a small deployment: one service of model engines and one plain service. */
export const HOST_NAME = 'site.example'

const LIMITS = { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000 }

export const WRITE_PATH = '/book/1'
export const READ_PATH = '/look/1'
export const CHAT_PATH = '/chat/1'
export const CHAT_HEADERS = { 'X-Magnoliabay-Model': 'm1', 'X-Magnoliabay-Token-Usage': '100,6' }

export function plainService () {
  return {
    routes: [
      { name: 'booking', hostname: HOST_NAME, prefix: '/book/', 'route-kind': 'non_idempotent', 'timeout-ms': 1200, 'target-latency-ms': 121, priority: 0, service: 'desk', 'max-attempts': 1, anonymous: true },
      { name: 'lookup', hostname: HOST_NAME, prefix: '/look/', 'route-kind': 'idempotent', 'timeout-ms': 5000, 'target-latency-ms': 121, priority: 0, service: 'desk', 'max-attempts': 2, anonymous: true }
    ],
    services: [{ name: 'desk', 'connection-limit': 110, 'health-check-path': '/health' }]
  }
}

export function engineService () {
  return {
    routes: [{ name: 'chat', hostname: HOST_NAME, prefix: '/chat/', 'route-kind': 'streaming', 'timeout-ms': 12_000, 'target-latency-ms': 400, priority: 0, service: 'llm', 'max-attempts': 1, anonymous: true, resumable: false, 'gap-target-ms': 250 }],
    services: [{ name: 'llm', 'connection-limit': 370, 'health-check-path': '/health', engine: { slots: 64, 'kv-cache-tokens': 169_731, 'weights-mb': 230_000, 'adapter-capacity': 8, 'loads-per-s': 2.1, models: ['m1', 'm2'].map(name => ({ name, 'weights-mb': 70_000, 'load-time-s': 6, adapters: 0, 'adapter-size-mb': 100 })) } }]
  }
}

export function configOf (...parts) {
  return { version: 1, routes: parts.flatMap(({ routes }) => routes), services: parts.flatMap(({ services }) => services), limits: LIMITS }
}

export function requestText ({ method, path, id, body = '', headers = {} }) {
  const lines = [`${method} ${path} HTTP/1.1`, `Host: ${HOST_NAME}`, `X-Magnoliabay-Attempt-Id: ${id}`, 'X-Magnoliabay-Deadline-Ms: 5000', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ...(method === 'POST' ? [`Content-Length: ${body.length}`] : [])]
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}
