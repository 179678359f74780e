//! Counters of the process, for operators and for statsd; see `docs/operators.md`.
