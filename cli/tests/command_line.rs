//! Runs the compiled `endivescale` client.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// Runs `endivescale` in the workspace root and waits for it to exit.
pub(crate) fn endivescale(args: &[&str]) -> CommandOutput {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let program = env!("CARGO_BIN_EXE_endivescale");
    let output = Command::new(program).args(args).current_dir(root).output().unwrap();
    CommandOutput::new(&output)
}

/// Standard output, standard error and exit code of a finished client.
pub(crate) struct CommandOutput {
    pub(crate) stdout: String,
    pub(crate) stderr: String,
    pub(crate) code: i32,
}

impl CommandOutput {
    fn new(output: &Output) -> Self {
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
        let code = output.status.code().unwrap();
        Self { stdout: text(&output.stdout), stderr: text(&output.stderr), code }
    }

    /// Returns the exit code and both outputs as one text.
    ///
    /// Replaces each address by its placeholder, because ports differ between runs.
    pub(crate) fn text(&self, placeholders: &[(SocketAddr, &str)]) -> String {
        let mut text = format!("exit code: {}\n{}{}", self.code, self.stdout, self.stderr);
        for (address, placeholder) in placeholders {
            text = text.replace(&address.to_string(), placeholder);
        }
        text
    }
}
