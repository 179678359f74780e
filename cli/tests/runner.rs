//! Integration tests of the client and the daemon, built as one test binary.

mod command_line;
mod fake_daemon;
mod processes;
mod test_burn_command;
mod test_check_command;
mod test_config_pause;
mod test_drain_command;
mod test_explain_command;
mod test_help_command;
mod test_log_output;
mod test_once;
mod test_retries;
mod test_status_command;
mod test_stopping;
mod test_trace_command;
