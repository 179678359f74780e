//! Which instances exist and which of them work; see `docs/design/membership.md`.
