"""Write-ahead ledger of idempotent effects: which effect ran under which idempotency key, across restarts.

- `format`: the binary format of a segment; encoding and decoding only.
- `records`: the typed records that the other modules exchange.
- `state`: all decisions (what to write and when, what to refuse, what expires), without I/O or a clock.
- `recovery` and `compaction`: the parts of `state` that merge old segments and that rewrite them.
- `store`: the I/O, which performs writes and reads segments back.
"""
