//! Where one daemon and its upstream run, and the daemon's settings file.

use std::net::SocketAddr;

use crate::platform::ListedVm;
use crate::process::free_addrs;

/// Addresses of one instance: its upstream and the daemon beside it.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the instance.
    pub instance: String,
    /// Service that the instance serves.
    pub service: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Region of the VM.
    pub region: String,
    /// The daemon's listener for outside callers.
    pub caller: SocketAddr,
    /// The daemon's listener for the upstream's own calls.
    pub outbound: SocketAddr,
    /// The daemon's listener for other daemons' requests.
    pub peer: SocketAddr,
    /// The daemon's listener for other daemons' control calls.
    pub control: SocketAddr,
    /// The daemon's listener for operators.
    pub operator: SocketAddr,
    /// The upstream's listener.
    pub upstream: SocketAddr,
    /// The upstream's admin listener.
    pub admin: SocketAddr,
    /// Slots of the upstream.
    pub slots: usize,
    /// Connections that the daemon may open to the upstream.
    pub connections: usize,
}

impl Place {
    /// Returns a place on free addresses, in the availability zone whose
    /// letter ends the instance's name.
    pub fn new(service: &str, letter: char, slots: usize, connections: usize) -> Self {
        let addrs = free_addrs(7);
        Self {
            instance: format!("{service}-{letter}"),
            service: service.to_owned(),
            zone: format!("central-{letter}"),
            region: "central".to_owned(),
            caller: addrs[0],
            outbound: addrs[1],
            peer: addrs[2],
            control: addrs[3],
            operator: addrs[4],
            upstream: addrs[5],
            admin: addrs[6],
            slots,
            connections,
        }
    }

    /// Returns the platform's entry for the instance, in the given state.
    pub fn listed(&self, state: &str) -> ListedVm {
        ListedVm {
            instance: self.instance.clone(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            peer: self.peer,
            control: self.control,
            state: state.to_owned(),
        }
    }

    /// Returns the text of the daemon's settings file.
    pub fn settings(&self, platform: SocketAddr, patience: &str) -> String {
        let Self { instance, service, zone, region, .. } = self;
        let Self { caller, outbound, peer, control, operator, upstream, .. } = self;
        let Self { slots, connections, .. } = self;
        format!(
            r#"[daemon]
instance = "{instance}"
service = "{service}"
zone = "{zone}"
region = "{region}"
[listen]
caller = "{caller}"
upstream = "{outbound}"
peer = "{peer}"
control = "{control}"
operator = "{operator}"
[upstream]
address = "{upstream}"
slots = {slots}
connections = {connections}
[platform]
address = "{platform}"
[stop]
patience = "{patience}"
[log]
level = "warn"
"#
        )
    }
}
