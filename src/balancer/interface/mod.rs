//! The balancer's interface: events, actions and settings. This module makes no decisions.

mod action;
mod event;
mod settings;
mod time;

pub use self::action::*;
pub use self::event::*;
pub use self::settings::*;
pub use self::time::Timestamp;
pub(crate) use self::time::{as_micros_f64, duration_from_micros_f64, whole_micros};
