"""Write-ahead ledger of idempotent effects: what ran under which idempotency key, kept over restarts.

- `format`: the bytes of a segment; encoding and decoding only.
- `records`: the typed records that the other modules exchange.
- `state`: every decision (what to write when, what to refuse, what expires), without I/O or a clock.
- `recovery` and `compaction`: the parts of those decisions that read old segments and that rewrite them.
- `store`: the I/O, which carries writes out and reads segments back.
"""
