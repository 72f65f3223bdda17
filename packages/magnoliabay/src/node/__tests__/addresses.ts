/** Addresses for tests of what arrives from outside the process. */

/** Addresses to which no connection can be made. */
export const IMPOSSIBLE_ADDRESSES: Readonly<Record<string, string>> = {
  nothing: '',
  'no port': '10.0.0.1',
  'an empty port': '10.0.0.1:',
  'port 0': '10.0.0.1:0',
  'a port above the highest': '10.0.0.1:99999',
  'a port that is no number': '10.0.0.1:http',
  'a port with a sign': '10.0.0.1:-1',
  'a port only': ':8080',
  'a host that is no address': '999.1.1.1:8080',
  'a host name': 'member.example:8080',
  'a bracket left open': '[::1:8080',
  'IPv6 without brackets': '::1:8080',
  'IPv4 in brackets': '[10.0.0.1]:8080',
  'text behind the port': '10.0.0.1:8080/x'
}

export const POSSIBLE_ADDRESSES = ['10.0.0.1:1', '10.0.0.1:65535', '[fd00::1]:8080', '[::1]:1']
