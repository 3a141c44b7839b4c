//! The entry instances of a demo.

use std::io;

use verbenaslip::Server;
use verbenaslip::settings::Settings;
use verbenaslip::settings::section::{Cloud, Cluster, Files, Instance};
use verbenaslip::settings::value::Voter;

use super::back_end::ZONES;
use super::layout::Layout;

/// Opens every instance; all of them are voters.
pub(crate) fn open(layout: &Layout, cloud: std::net::SocketAddr) -> io::Result<Vec<Server>> {
    let settings = (0..ZONES.len()).map(|index| settings(layout, cloud, index));
    settings.map(|settings| Server::open(&settings).map_err(io::Error::other)).collect()
}

/// Returns an instance's name.
pub(crate) fn name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn settings(layout: &Layout, cloud: std::net::SocketAddr, index: usize) -> Settings {
    let ports = layout.ports[index];
    let voter = |index: usize| Voter {
        name: name(index).as_str().into(),
        address: layout.ports[index].peers,
    };
    Settings {
        instance: Instance {
            name: name(index).as_str().into(),
            zone: ZONES[index].into(),
            region: "gbg".into(),
            callers: ports.callers,
            admin: ports.admin,
            peers: ports.peers,
            data: Some(layout.path(name(index))),
        },
        cluster: Cluster {
            name: "demo".into(),
            seeds: layout.ports.iter().map(|ports| ports.peers).collect(),
            voters: (0..ZONES.len()).map(voter).collect(),
            ..Cluster::default()
        },
        files: Files {
            team_keys: Some(layout.path("teams")),
            operator_keys: Some(layout.path("operators")),
            upstream_keys: Some(layout.path("upstreams")),
            initial_table: Some(layout.path("table.csv")),
        },
        cloud: Some(Cloud { address: cloud, ..Cloud::default() }),
        ..Settings::default()
    }
}
