//! The addresses of all stand-ins, one for each balancer, so that the checker knows who sent an attempt.
use std::io;
use std::net::SocketAddr;

use stairfront_emulator::discovery_agent::{EndpointRecord, EndpointStatus};

use super::{AgentAddresses, FleetPlan};
use crate::server_host::ReservedAddress;

/// Reserved addresses of a balancer's agent.
pub(super) struct ReservedAgentAddresses {
    pub(super) first: ReservedAddress,
    /// Address after discovery has moved.
    pub(super) moved: ReservedAddress,
}

/// Addresses of all servers, by balancer.
pub(super) struct FleetAddresses {
    pub(super) hosts: Vec<Vec<ReservedAddress>>,
    pub(super) origin: Vec<ReservedAddress>,
    pub(super) agents: Vec<ReservedAgentAddresses>,
}

impl FleetAddresses {
    pub(super) fn reserve(plan: &FleetPlan) -> io::Result<Self> {
        let one_for_each_balancer = || {
            let balancers = 0..plan.balancers;
            balancers.map(|_| ReservedAddress::reserve()).collect()
        };
        let hosts = plan.hosts.iter().map(|_| one_for_each_balancer());
        let agent = |_| {
            Ok(ReservedAgentAddresses {
                first: ReservedAddress::reserve()?,
                moved: ReservedAddress::reserve()?,
            })
        };
        Ok(FleetAddresses {
            hosts: hosts.collect::<io::Result<_>>()?,
            origin: one_for_each_balancer()?,
            agents: (0..plan.balancers).map(agent).collect::<io::Result<_>>()?,
        })
    }

    /// The list of servers that a balancer's agent has.
    pub(super) fn list(
        &self,
        plan: &FleetPlan,
        balancer: usize,
        since_ms: u64,
    ) -> Vec<EndpointRecord> {
        let hosts = plan.hosts.iter().zip(&self.hosts);
        let caches = hosts.map(|(host, addresses)| EndpointRecord {
            since_ms,
            ..server(&host.name, &host.zone, "cache", &addresses[balancer])
        });
        let zone = plan.hosts.first().map_or("a", |host| &host.zone);
        let origin = server("origin", zone, "origin", &self.origin[balancer]);
        caches.chain([origin]).collect()
    }

    pub(super) fn first_of_each_host(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        let first = hosts.filter_map(|addresses| addresses.first());
        first.map(ReservedAddress::address).collect()
    }

    pub(super) fn agents(&self) -> Vec<AgentAddresses> {
        let agents = self.agents.iter();
        let addresses = agents.map(|agent| AgentAddresses {
            first: agent.first.address(),
            moved: agent.moved.address(),
        });
        addresses.collect()
    }
}

fn server(name: &str, zone: &str, kind: &str, address: &ReservedAddress) -> EndpointRecord {
    EndpointRecord {
        name: name.to_string(),
        address: address.address().to_string(),
        zone: zone.to_string(),
        kind: kind.to_string(),
        group: 0,
        status: EndpointStatus::Serving,
        since_ms: 0,
    }
}
