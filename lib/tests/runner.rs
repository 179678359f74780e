//! One binary for all integration tests of the library.

#![allow(clippy::needless_pass_by_value, reason = "quickcheck hands properties owned values")]

mod broken_relay;
mod cluster;
mod fleet;
mod test_admission;
mod test_admission_load;
mod test_answers;
mod test_bad_input;
mod test_burn;
mod test_called_paths;
mod test_config;
mod test_config_graph;
mod test_context;
mod test_crash_fleet;
mod test_crashes;
mod test_docs;
mod test_examples;
mod test_idempotency;
mod test_leaving;
mod test_listener;
mod test_log;
mod test_membership;
mod test_metrics;
mod test_model_config;
mod test_model_once;
mod test_once;
mod test_operators;
mod test_parent;
mod test_path;
mod test_placing;
mod test_rate_limits;
mod test_relays;
mod test_repeats;
mod test_retries;
mod test_retry_bound;
mod test_roster;
mod test_routing;
mod test_rules;
mod test_seal;
mod test_settings;
mod test_shedding;
mod test_shedding_daemons;
mod test_standins;
mod test_whole_requests;
