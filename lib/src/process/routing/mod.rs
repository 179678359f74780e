//! Choice of an instance for a call; see `docs/design/routing.md`.
