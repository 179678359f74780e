//! Runs the built operators' client.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// Runs `endivescale` at the root of the workspace.
pub(crate) fn endivescale(args: &[&str]) -> Ran {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let program = env!("CARGO_BIN_EXE_endivescale");
    let output = Command::new(program).args(args).current_dir(root).output().unwrap();
    Ran::new(&output)
}

/// What the client printed, with its exit code.
pub(crate) struct Ran {
    pub(crate) stdout: String,
    pub(crate) stderr: String,
    pub(crate) code: i32,
}

impl Ran {
    fn new(output: &Output) -> Self {
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        let code = output.status.code().unwrap();
        Self { stdout: text(&output.stdout), stderr: text(&output.stderr), code }
    }

    /// Everything in one text, with fixed names in place of addresses.
    pub(crate) fn text(&self, names: &[(SocketAddr, &str)]) -> String {
        let mut text = format!("exit code: {}\n{}{}", self.code, self.stdout, self.stderr);
        for (address, name) in names {
            text = text.replace(&address.to_string(), name);
        }
        text
    }
}
