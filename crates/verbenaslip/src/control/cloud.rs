//! The thread that asks the cloud for reclaim notices.

use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::{self, RecvTimeoutError, Sender};

use crate::cloud::{Cloud, Http};
use crate::control::Order;
use crate::event::Event;
use crate::settings::section;

/// How long the cloud may take for an answer.
const LIMIT: Duration = Duration::from_secs(2);

/// Asks for notices until it is dropped.
pub(crate) struct Poller {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts to ask the cloud for notices.
pub(crate) fn spawn(settings: &section::Cloud, orders: Sender<Order>) -> Poller {
    let (stop, stopped) = channel::bounded::<()>(0);
    let settings = settings.clone();
    let thread = thread::spawn(move || {
        let cloud = Http::new(settings.address, LIMIT);
        let mut since = 0;
        let mut reached = true;
        while stopped.recv_timeout(settings.poll) == Err(RecvTimeoutError::Timeout) {
            let notices = cloud.notices(since);
            note_reach(&mut reached, &settings, notices.as_ref().err());
            let Ok(notices) = notices else { continue };
            since = notices.next;
            for notice in notices.notices {
                let order = Order::Reclaim { name: notice.name, notice: notice.deadline };
                let _ = orders.send(order);
            }
        }
    });
    Poller { stop: Some(stop), thread: Some(thread) }
}

/// Logs when the cloud can't be asked, and when it answers again, once each.
fn note_reach(reached: &mut bool, settings: &section::Cloud, error: Option<&crate::cloud::Error>) {
    let address = settings.address;
    match error {
        Some(error) if *reached => {
            Event::CloudUnreachable { address, cause: error.to_string().into() }.log();
        }
        None if !*reached => Event::CloudBack { address }.log(),
        _ => {}
    }
    *reached = error.is_none();
}
