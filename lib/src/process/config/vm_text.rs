//! The list of VMs as text: one line a VM, so that a change of one VM is a
//! change of one line and travels between daemons like a change of a rule.

use std::fmt::Write as _;
use std::net::SocketAddr;

use snafu::OptionExt as _;
use snafu::Snafu;

use crate::process::membership::Vm;
use crate::process::membership::VmList;
use crate::process::membership::VmState;

const SEPARATOR: char = '\t';

/// A text that is no list of VMs.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum VmTextError {
    /// A line lacks a field, or a field holds no value of its type.
    #[snafu(display("line {line}: field '{field}' is missing or cannot be read"))]
    InvalidField {
        /// Line, counted from 1.
        line: usize,
        /// Name of the field.
        field: &'static str,
    },
}

/// Writes the list, in the order of the instances' names.
///
/// Two daemons that read the same list from the platform write the same text,
/// whatever the order in which the platform gave it.
pub(crate) fn print(vms: &[Vm]) -> String {
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

/// Reads what [`print`] wrote.
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
    let peer = address(line, "peer", next("peer")?)?;
    let control = address(line, "control", next("control")?)?;
    let state = match next("state")? {
        "live" => VmState::Live,
        "leaving" => VmState::Leaving,
        _ => return InvalidFieldSnafu { line, field: "state" }.fail(),
    };
    Ok(Vm { instance, service, zone, region, peer, control, state, upstream: None })
}

fn address(line: usize, field: &'static str, text: &str) -> Result<SocketAddr, VmTextError> {
    text.parse().ok().context(InvalidFieldSnafu { line, field })
}
