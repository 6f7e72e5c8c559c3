"""The wire formats that a server speaks: parsing and formatting only, no I/O.

- `requests`, `responses`: decode the requests from client stubs and encode the responses; `thrift` implements
  the Thrift binary protocol that both use, `stub` encodes and decodes these messages for a client.
- `agent`: the render farm agent; `backend`: the back end. Both are line protocols over `lines`.
- `announce`: the announce service, HTTP/1.1.
- `settings`: the settings that a server receives at startup.
- `buffer`: the receive buffer that streams are parsed from.
"""
