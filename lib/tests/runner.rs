//! One binary for all integration tests of the library.

mod test_context;
mod test_metrics;
mod test_rules;
mod test_settings;
