//! One binary for all integration tests of the programs.
