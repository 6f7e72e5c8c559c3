"""Write-ahead ledger: a log on disk of the runs with an idempotency key, which survives restarts.

An effect, in this package, is one run with an idempotency key. Before it starts, its intent (that it is about
to start) is recorded; when it ends, its outcome. An effect is doubtful if it may have run but its outcome is
unknown; the outcome is then awaited until a deadline. The window of a key is the time in which attempts with
this key count as repeats; after it the effect expires. An incarnation is one process of this server.

- `format`: the binary format of a segment; encoding and decoding only.
- `records`: the typed records that the other modules exchange.
- `state`: all decisions (what to write and when, what to refuse, what expires), without I/O or a clock.
- `recovery` and `compaction`: the parts of `state` that read the records of old segments and rewrite them.
- `stages`: the names of stages, also of those that the server's settings do not have.
- `unmatched`: the effects of those other stages, which no task can request now but which are retained.
- `store`: the I/O, which performs writes and reads segments back.
"""
