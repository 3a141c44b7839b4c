//! Which other entry opens a connection that this one cannot open itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::gateway::Gateway;

/// Load difference, in connections, up to which a gateway in the own availability zone is preferred.
const OTHER_ZONE_COST: f64 = 8.0;

/// Pause after a gateway could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

/// Pause after a gateway had no path itself.
const NO_PATH_PAUSE: Duration = Duration::from_secs(1);

/// Pause after a gateway had no room.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Describes why a gateway opened no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The gateway did not answer.
    Silent,
    /// The gateway has no path to the upstream, or does not know it.
    NoPath,
    /// The gateway carries as much as it may, or is stopping.
    Busy,
    /// The gateway has tried and could not reach the upstream.
    UpstreamUnreachable,
}

#[derive(Debug)]
struct State {
    zone: AvailabilityZone,
    paused_until: Duration,
    /// Connections of all entries through the gateway, as it last said, and those opened since.
    load: u32,
}

/// Holds the gateways that this entry knows.
#[derive(Debug, Default)]
pub struct Gateways {
    states: BTreeMap<SocketAddr, State>,
}

impl Gateways {
    /// Replaces the known gateways, and keeps what was learnt of those that stay.
    pub fn update(&mut self, gateways: &[Gateway]) {
        self.states.retain(|address, _| gateways.iter().any(|it| it.address == *address));
        for Gateway { address, zone } in gateways {
            let state = self.states.entry(*address);
            state.or_insert_with(|| State {
                zone: zone.clone(),
                paused_until: Duration::ZERO,
                load: 0,
            });
        }
    }

    /// Chooses a gateway other than those in `tried`; `fraction`, between zero and one, decides
    /// between equal ones.
    pub fn choose(
        &mut self,
        now: Duration,
        zone: &AvailabilityZone,
        tried: &[SocketAddr],
        fraction: f64,
    ) -> Option<SocketAddr> {
        let usable = self
            .states
            .iter_mut()
            .filter(|(address, it)| it.paused_until <= now && !tried.contains(address));
        let (count, step) = (usable.size_hint().1.unwrap_or(1).max(1), fraction);
        let ranked = usable.enumerate().map(|(index, (address, state))| {
            let distance = if state.zone == *zone { 0.0 } else { OTHER_ZONE_COST };
            // Rotates the order among gateways with the same load.
            let rotation = (as_f64(index) / as_f64(count) + step).fract();
            (f64::from(state.load) + distance + rotation, address, state)
        });
        let (_, address, state) = ranked.min_by(|left, right| left.0.total_cmp(&right.0))?;
        state.load += 1;
        Some(*address)
    }

    /// Records that a gateway has opened a connection, and how many it carries now.
    pub fn record_opened(&mut self, address: SocketAddr, load: u32) {
        if let Some(state) = self.states.get_mut(&address) {
            state.load = load;
        }
    }

    /// Records that a gateway has opened no connection.
    pub fn record_refusal(&mut self, now: Duration, address: SocketAddr, refusal: Refusal) {
        let Some(state) = self.states.get_mut(&address) else { return };
        let pause = match refusal {
            Refusal::Silent => UNREACHABLE_PAUSE,
            Refusal::NoPath => NO_PATH_PAUSE,
            Refusal::Busy => BUSY_PAUSE,
            Refusal::UpstreamUnreachable => Duration::ZERO,
        };
        state.paused_until = now + pause;
    }
}

/// Converts a small count.
fn as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
