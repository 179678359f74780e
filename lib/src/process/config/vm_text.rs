//! Text format of the list of VMs, with one line for each VM.
//!
//! A change of one VM changes one line, so that line-based deltas are as small for
//! this list as for the rules.

use std::fmt::Write as _;
use std::net::SocketAddr;

use snafu::OptionExt as _;
use snafu::Snafu;

use crate::process::membership::Vm;
use crate::process::membership::VmList;
use crate::process::membership::VmState;

const SEPARATOR: char = '\t';

/// A text that is not a valid list of VMs.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum VmTextError {
    /// A field of a line is missing or does not have a valid value.
    #[snafu(display("line {line}: field '{field}' is missing or invalid"))]
    InvalidField {
        /// Line number, counted from 1.
        line: usize,
        /// Name of the field.
        field: &'static str,
    },
}

/// Formats the list, sorted by the names of the instances.
///
/// Daemons that read the same list from the platform produce the same text, whatever
/// the order in which the platform returned the VMs.
pub(crate) fn render(vms: &[Vm]) -> String {
    let mut sorted: Vec<&Vm> = vms.iter().collect();
    sorted.sort_by(|a, b| a.instance.cmp(&b.instance));
    let mut text = String::new();
    for vm in sorted {
        let state = match vm.state {
            VmState::Live => "live",
            VmState::Leaving => "leaving",
        };
        let Vm { instance, service, zone, region, peer, control, .. } = vm;
        writeln!(text, "{instance}\t{service}\t{zone}\t{region}\t{peer}\t{control}\t{state}")
            .expect("writing to a string cannot fail");
    }
    text
}

/// Parses the text that [`render`] produces.
pub(crate) fn parse(version: u64, text: &str) -> Result<VmList, VmTextError> {
    let lines = text.lines().enumerate();
    let vms = lines.map(|(index, line)| parse_line(index + 1, line));
    Ok(VmList { version, vms: vms.collect::<Result<_, _>>()? })
}

fn parse_line(line: usize, text: &str) -> Result<Vm, VmTextError> {
    let mut fields = text.split(SEPARATOR);
    let mut next = |field| fields.next().context(InvalidFieldSnafu { line, field });
    let instance = next("instance")?.into();
    let service = next("service")?.into();
    let zone = next("zone")?.into();
    let region = next("region")?.into();
    let peer = parse_address(line, "peer", next("peer")?)?;
    let control = parse_address(line, "control", next("control")?)?;
    let state = match next("state")? {
        "live" => VmState::Live,
        "leaving" => VmState::Leaving,
        _ => return InvalidFieldSnafu { line, field: "state" }.fail(),
    };
    Ok(Vm { instance, service, zone, region, peer, control, state, upstream: None })
}

fn parse_address(line: usize, field: &'static str, text: &str) -> Result<SocketAddr, VmTextError> {
    text.parse().ok().context(InvalidFieldSnafu { line, field })
}
