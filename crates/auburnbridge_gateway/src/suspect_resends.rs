//! Reports about requests that crash targets, sent several times since datagrams may be lost.

use std::collections::BTreeMap;

use auburnbridge_policy::poison::SuspectReport;
use auburnbridge_types::{Millis, Timestamp};

/// Number of times that a report is sent.
const SENDS: u32 = 4;
/// Delay before a report is sent for the second time.
const FIRST_RESEND_DELAY: Millis = Millis(100);
/// Delay before it is sent again after that. All sends together take less than the time in which a crash
/// must be known everywhere, a few seconds.
pub(crate) const RESEND_INTERVAL: Millis = Millis(600);
/// Maximum number of reports in one datagram, which holds them with the longest ids.
pub(crate) const MAX_REPORTS: usize = 8;

/// A report that is sent again at `due`.
struct Pending {
    added: Timestamp,
    due: Timestamp,
    sends: u32,
    report: SuspectReport,
}

/// Reports that have not been sent often enough.
#[derive(Default)]
pub(crate) struct SuspectResends {
    pending: Vec<Pending>,
}

impl SuspectResends {
    /// Adds new reports, which are due at once.
    pub(crate) fn add(&mut self, now: Timestamp, reports: Vec<SuspectReport>) {
        self.pending
            .extend(reports.into_iter().map(|report| Pending {
                added: now,
                due: now,
                sends: 0,
                report,
            }));
    }

    /// Takes the reports to send now, by the number of times that they were sent before.
    pub(crate) fn due(&mut self, now: Timestamp) -> BTreeMap<u32, Vec<SuspectReport>> {
        let mut due: BTreeMap<u32, Vec<SuspectReport>> = BTreeMap::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.due <= now) {
            let reports = due.entry(pending.sends).or_default();
            reports.push(pending.report.clone().after(now.since(pending.added)));
            pending.sends += 1;
            let delay = if pending.sends == 1 {
                FIRST_RESEND_DELAY
            } else {
                RESEND_INTERVAL
            };
            pending.due = now.after(delay);
        }
        self.pending
            .retain(|pending| pending.sends < max_sends(&pending.report));
        due
    }
}

/// A claim isn't sent again, since it would block the trial after the run has ended.
fn max_sends(report: &SuspectReport) -> u32 {
    match report {
        SuspectReport::Crashed(_) | SuspectReport::Answered { .. } => SENDS,
        SuspectReport::Known { .. } | SuspectReport::Trial { .. } => 1,
    }
}
