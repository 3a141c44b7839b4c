//! Plans capacity ahead of the hourly peak; runs on the leader only.
//!
//! [`Forecast`] learns how much work each second of the hour brings. [`Planner`] converts it to
//! machines: enough to survive the loss of any one availability zone, in the zones and markets with
//! the lowest prices of the day, with the reserve of the rows on on-demand machines. Machines are
//! ordered early enough to start and to load their model. After a refused start the next best offer
//! is tried, and model loads stay within the rate of the weight store. Surplus machines are drained
//! before they are stopped.

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
