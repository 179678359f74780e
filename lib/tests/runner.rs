//! One binary for all integration tests of the library.

mod test_admission;
mod test_burn;
mod test_context;
mod test_examples;
mod test_idempotency;
mod test_metrics;
mod test_path;
mod test_retries;
mod test_rules;
mod test_settings;
mod test_shedding;
mod test_standins;
