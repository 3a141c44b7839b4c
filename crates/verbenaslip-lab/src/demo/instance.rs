//! The entry instances of a demo.

use std::io;

use verbenaslip::Server;
use verbenaslip::settings::Settings;
use verbenaslip::settings::section::{Cloud, Cluster, Files, Instance};
use verbenaslip::settings::value::Voter;

use super::cast::ZONES;
use super::place::Place;

/// Opens every instance; all of them are voters.
pub(crate) fn open(place: &Place, cloud: std::net::SocketAddr) -> io::Result<Vec<Server>> {
    let settings = (0..ZONES.len()).map(|index| settings(place, cloud, index));
    settings.map(|settings| Server::open(&settings).map_err(io::Error::other)).collect()
}

/// Returns an instance's name.
pub(crate) fn name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn settings(place: &Place, cloud: std::net::SocketAddr, index: usize) -> Settings {
    let ports = place.ports[index];
    let voter = |index: usize| Voter {
        name: name(index).as_str().into(),
        address: place.ports[index].peers,
    };
    Settings {
        instance: Instance {
            name: name(index).as_str().into(),
            zone: ZONES[index].into(),
            region: "gbg".into(),
            callers: ports.callers,
            admin: ports.admin,
            peers: ports.peers,
            data: Some(place.path(name(index))),
        },
        cluster: Cluster {
            name: "demo".into(),
            seeds: place.ports.iter().map(|ports| ports.peers).collect(),
            voters: (0..ZONES.len()).map(voter).collect(),
            ..Cluster::default()
        },
        files: Files {
            team_keys: Some(place.path("teams")),
            operator_keys: Some(place.path("operators")),
            upstream_keys: Some(place.path("upstreams")),
            initial_table: Some(place.path("table.csv")),
        },
        cloud: Some(Cloud { address: cloud, ..Cloud::default() }),
        ..Settings::default()
    }
}
