"""Results of deduplicated submissions, kept on disk over restarts of a server in place.

Decisions without I/O: `entry` (the states of a kept key), `upkeep` (what to do with the log), `recovery`
(what a log that was found says), `clock`, `index`, `wheel`. Bytes: `records`. I/O: `files`, `helper`,
`journal`. `kept` puts them together for the owner of the module.
"""
