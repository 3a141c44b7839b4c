//! The loss of the control thread, brought about by a log that panics; alone in its process,
//! because all threads share the log.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use log::{Log, Metadata, Record};
use verbenaslip::Server;
use verbenaslip::keys::fixed::Fixed;
use verbenaslip::keys::ring::Ring;
use verbenaslip::server::Ended;
use verbenaslip::settings::Settings;
use verbenaslip_lab::port;

/// Holds the lines logged so far.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Panics on the control thread when the planned stop begins.
struct Trap;

impl Log for Trap {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        let springs = line.starts_with("V1009 ") && thread::current().name() == Some("control");
        LINES.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        assert!(!springs, "the trap springs");
    }

    fn flush(&self) {}
}

fn settings() -> Settings {
    let free = || port::free().expect("a free port");
    let mut settings = Settings::default();
    settings.instance.callers = free();
    settings.instance.admin = free();
    settings.instance.peers = free();
    settings
}

#[test]
fn a_lost_control_thread_is_no_drain_that_ran_out_of_time() {
    // Symptom: an instance that died of a fault looks like one whose drain was too short, and
    // nobody reports the fault. Sequence: the control thread panics while the process waits for its
    // end. Cause: a missing word about the end is taken for the end of the drain time.
    log::set_logger(&Trap).expect("the first logger of the process");
    log::set_max_level(log::LevelFilter::Info);
    let ring = Ring {
        teams: Arc::new(Fixed::new([("office", "office-key")])),
        operators: Arc::new(Fixed::new([("anna", "operator-key")])),
        upstreams: Arc::new(Fixed::new([("upstreams", "upstream-key")])),
    };
    let server = Server::open_with(&settings(), ring).expect("the instance starts");
    assert_eq!(server.stop(), Ended::ThreadLost);
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    let lost: Vec<&String> = lines.iter().filter(|line| line.starts_with("V1017 ")).collect();
    assert_eq!(lost, ["V1017 thread control ended: the trap springs"], "{lines:#?}");
    assert!(!lines.iter().any(|line| line.starts_with("V1011 ")), "{lines:#?}");
}
