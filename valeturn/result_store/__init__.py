"""Results of idempotent requests, stored on disk, so that duplicates are answered across restarts.

A write-ahead log of intents and results in segments, an index in memory, snapshots of it, and compaction.

Decisions without I/O: `entry_states` (the states of an entry), `compaction_policy` (snapshots, compaction and
capacity), `segment_scan` and `recovery` (what the bytes of a log mean), `window_clock`, `index`,
`timing_wheel`, `limits`. Bytes on disk: `records`, `snapshot`. I/O: `directory`, `disk_jobs` (run by the
worker thread), `opening`. `log` writes the log and runs the jobs of `log_jobs`; `store` is what
the dispatcher uses.
"""
