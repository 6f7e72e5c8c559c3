"""The wire formats that a server speaks: parsing and formatting only, no I/O.

- `requests`, `responses`: the client stubs' requests in, the responses to them out; `thrift` has the Thrift
  binary protocol that both are written in, `stub` the client's side of it.
- `agent`: the render farm agent; `backend`: the back end. Both are line protocols over `lines`.
- `announce`: the announce service, HTTP/1.1.
- `settings`: the settings that a server is started with.
- `buffer`: the receive buffer that every stream is parsed from.
"""
