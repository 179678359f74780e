//! The operators' command line, as a library so that the program stays thin.

pub mod commands;
