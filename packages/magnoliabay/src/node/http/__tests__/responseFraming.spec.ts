import { expect } from 'chai'
import { framingOf } from '../responseFraming'
import type { ResponseFraming, ResponseHeaders } from '../responseFraming'

interface Case {
  method: string
  status: number
  headers: ResponseHeaders
  framing: ResponseFraming
}

const CASES: Case[] = [
  { method: 'GET', status: 200, headers: { 'content-length': '4' }, framing: 'length' },
  { method: 'GET', status: 200, headers: { 'transfer-encoding': 'chunked' }, framing: 'chunked' },
  { method: 'GET', status: 200, headers: { 'transfer-encoding': 'gzip, Chunked' }, framing: 'chunked' },
  { method: 'GET', status: 200, headers: { 'transfer-encoding': 'gzip' }, framing: 'connection' },
  { method: 'GET', status: 200, headers: {}, framing: 'connection' },
  { method: 'GET', status: 205, headers: {}, framing: 'connection' },
  { method: 'DELETE', status: 204, headers: {}, framing: 'none' },
  { method: 'GET', status: 304, headers: { 'content-length': '4' }, framing: 'none' },
  { method: 'HEAD', status: 200, headers: {}, framing: 'none' },
  { method: 'HEAD', status: 200, headers: { 'transfer-encoding': 'chunked' }, framing: 'none' },
  { method: 'HEAD', status: 404, headers: { 'content-length': '4' }, framing: 'none' }
]

describe('framing of a response', () => {
  CASES.forEach(({ method, status, headers, framing }) => it(`is ${framing} for ${status} to ${method} with ${JSON.stringify(headers)}`, () => {
    expect(framingOf(method, status, headers)).to.equal(framing)
  }))
})
