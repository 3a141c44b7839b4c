//! Capacity ahead of the hour; only the leader runs it.
//!
//! [`Forecast`] learns how much work each second of the hour brings. [`Planner`] turns it into
//! machines: enough that any one availability zone may be lost, in the zones and markets that are
//! cheapest today, with the rows' part kept on on-demand machines. Starts are early by the time to
//! start and to load, refused ones try the next best offer, and loads stay inside the weight store's
//! rate. What is no longer needed is drained first and stopped then.

mod forecast;
mod mix;
mod offer;
mod order;
mod planner;
mod settings;
mod weight_store;

pub use self::forecast::Forecast;
pub use self::mix::{Capacity, Mix};
pub use self::offer::{Offer, OfferBackoff};
pub use self::order::{Machine, MachineState, Order, View};
pub use self::planner::Planner;
pub use self::settings::{MachineClass, ModelWeights, Settings};
pub use self::weight_store::WeightStore;
