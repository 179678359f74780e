//! Idempotency tokens: issue, first use, resend; see `docs/design/idempotency.md`.
