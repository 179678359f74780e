//! One binary for all integration tests of the library.

mod test_context;
mod test_idempotency;
mod test_model_once;
mod test_retries;
